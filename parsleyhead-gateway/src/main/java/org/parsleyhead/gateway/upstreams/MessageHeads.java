package org.parsleyhead.gateway.upstreams;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.Optional;

/**
 * Reads and writes what message heads state about the connection and the body. Stateless and
 * thread-safe.
 */
final class MessageHeads {

  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final String TIMEOUT_PARAMETER = "timeout=";
  private static final int MAXIMUM_TIMEOUT_DIGITS = 6;

  private MessageHeads() {}

  /** Returns how long the server keeps an idle connection open, if it announces this. */
  static Optional<Duration> keepAliveTimeout(HttpResponse response) {
    return Optional.ofNullable(response.headers().get(KEEP_ALIVE))
        .flatMap(MessageHeads::timeoutSeconds)
        .map(Duration::ofSeconds);
  }

  /**
   * Returns a request to an instance, whose body is always sent with its length.
   *
   * @param head the head as received from the caller
   * @param body the body, which is released when the request is written
   * @param headers the headers for the instance
   */
  static FullHttpRequest request(HttpRequest head, ByteBuf body, HttpHeaders headers) {
    headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
    int length = body.readableBytes();
    if (length > 0 || !hasNoBody(head)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1, head.method(), head.uri(), body, headers, EmptyHttpHeaders.INSTANCE);
  }

  /** Returns whether a request has no body and needs no {@code Content-Length} header. */
  private static boolean hasNoBody(HttpRequest head) {
    boolean noLength =
        !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
            && !head.headers()
                .contains(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true);
    return noLength
        && (head.method().equals(HttpMethod.GET)
            || head.method().equals(HttpMethod.HEAD)
            || head.method().equals(HttpMethod.DELETE));
  }

  private static Optional<Long> timeoutSeconds(String header) {
    int at = header.indexOf(TIMEOUT_PARAMETER);
    if (at < 0) {
      return Optional.empty();
    }
    String digits = header.substring(at + TIMEOUT_PARAMETER.length()).replaceAll("[^0-9].*", "");
    return digits.isEmpty() || digits.length() > MAXIMUM_TIMEOUT_DIGITS
        ? Optional.empty()
        : Optional.of(Long.parseLong(digits));
  }

  /** Returns whether a response tells where its body ends; if not, its connection does. */
  static boolean framed(HttpResponse head) {
    return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
  }
}
