package org.parsleyhead.entry.callers;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.codec.openai.CompletionRequest;
import org.parsleyhead.codec.openai.CompletionRequestParser;
import org.parsleyhead.core.account.CallerKey;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.request.Refusal;
import org.parsleyhead.core.request.RefusalCode;
import org.parsleyhead.core.request.RequestDescription;

/**
 * Converts an HTTP request to a {@link ReceivedRequest}.
 *
 * <p>Immutable and thread-safe.
 */
final class RequestReader {

  private static final String IDEMPOTENCY_KEY = "idempotency-key";
  private static final String CHAT_OPERATION = "/chat/completions";
  private static final String COMPLETION_OPERATION = "/completions";

  private final CompletionRequestParser completions;

  RequestReader(CompletionRequestParser completions) {
    this.completions = Preconditions.requireNonNull(completions, "completions");
  }

  /**
   * Reads a request.
   *
   * @throws RequestRefusedException if the request is malformed or its body contains the caller's
   *     key, which must not reach an upstream
   */
  ReceivedRequest read(RequestIdentifier identifier, FullHttpRequest request) {
    Optional<String> key = KeyReader.read(request.headers());
    byte[] body = ByteBufUtil.getBytes(request.content());
    if (KeyReader.containsKey(new String(body, StandardCharsets.ISO_8859_1), key)) {
      throw new RequestRefusedException(
          Refusal.notRun(RefusalCode.KEY_IN_REQUEST, "the body must not hold the caller's key"));
    }
    try {
      RequestTargetValidator.Target target = RequestTargetValidator.validate(request.uri(), key);
      Optional<CompletionRequest> completion = readCompletion(request.method(), target, body);
      byte[] upstreamBody = completion.map(CompletionRequest::upstreamBody).orElse(body);
      RequestDescription description =
          new RequestDescription(
              identifier,
              request.method().name(),
              target.path(),
              key.map(KeyReader::digest).map(CallerKey::new),
              completion.map(CompletionRequest::call),
              Optional.ofNullable(request.headers().get(IDEMPOTENCY_KEY)),
              contentDigest(request, target, body));
      return new ReceivedRequest(
          description,
          target.text(),
          HeaderFilter.forUpstream(request.headers(), key),
          upstreamBody,
          completion.map(CompletionRequest::isUsageRequested).orElse(false));
    } catch (CodecException | InvalidValueException exception) {
      throw new RequestRefusedException(
          Refusal.notRun(RefusalCode.INVALID_REQUEST, exception.getMessage()));
    }
  }

  private Optional<CompletionRequest> readCompletion(
      HttpMethod method, RequestTargetValidator.Target target, byte[] body) {
    boolean completion =
        target.path().endsWith(CHAT_OPERATION) || target.path().endsWith(COMPLETION_OPERATION);
    return completion && method.equals(HttpMethod.POST)
        ? Optional.of(completions.parse(body))
        : Optional.empty();
  }

  private static String contentDigest(
      FullHttpRequest request, RequestTargetValidator.Target target, byte[] body) {
    String head = request.method().name() + " " + target.text() + "\n";
    return KeyReader.sha256(head.getBytes(StandardCharsets.UTF_8), body);
  }
}
