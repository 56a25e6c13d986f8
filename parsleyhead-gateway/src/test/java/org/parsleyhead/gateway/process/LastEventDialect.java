package org.parsleyhead.gateway.process;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchRefusal;
import org.parsleyhead.core.dispatch.ServingRequest;
import org.parsleyhead.gateway.api.HttpDialect;
import org.parsleyhead.gateway.api.ResponseHead;

/**
 * A dialect with the headers Id, Key, Timeout in milliseconds, Last-Event, Not-Run, Stamp and
 * Refusal. Stateless and thread-safe.
 */
final class LastEventDialect implements HttpDialect {

  static final String HOST = "host";

  private static final int MISDIRECTED = 421;

  @Override
  public ServingRequest readRequest(long key, HttpRequest head) {
    return new ServingRequest(
        key,
        head.headers().get("Id", ""),
        HOST,
        head.uri(),
        Optional.ofNullable(head.headers().get("Key")),
        Optional.ofNullable(head.headers().get("Timeout"))
            .map(Long::valueOf)
            .map(Duration::ofMillis),
        Optional.empty());
  }

  @Override
  public HttpHeaders upstreamHeaders(
      HttpRequest head, DispatchEffect.Send send, Optional<String> lastEvent) {
    HttpHeaders headers = head.headers().copy();
    lastEvent.ifPresent(event -> headers.set("Last-Event", event));
    return headers;
  }

  @Override
  public ResponseHead readResponse(HttpResponse response) {
    HttpHeaders headers = response.headers();
    return new ResponseHead(
        Optional.ofNullable(headers.get("Id")),
        headers.contains("Not-Run"),
        response.status().code() == MISDIRECTED,
        headers.contains("Stamp"),
        false,
        Optional.empty());
  }

  @Override
  public HttpHeaders callerHeaders(HttpResponse response) {
    return response.headers().copy();
  }

  @Override
  public HttpHeaders refusalHeaders(ServingRequest request, DispatchRefusal refusal) {
    return new DefaultHttpHeaders().set("Refusal", refusal.code().name());
  }
}
