package org.parsleyhead.standin.ledger;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.standin.http.HeaderField;

/**
 * One request or adapter order that an upstream handled, or one violation that it detected.
 *
 * <p>Immutable and thread-safe.
 *
 * @param upstream the name of the upstream
 * @param kind {@code completion}, {@code call}, {@code load}, {@code unload}
 * @param requestId the value of the {@code X-Request-Id} header
 * @param model the model or adapter named in the request; empty for plain services
 * @param target the method and the path
 * @param idempotencyKey the value of the {@code Idempotency-Key} header
 * @param contentDigest the SHA-256 digest of the prompt or the body, in hexadecimal
 * @param headers all header fields of the request, in the order of receipt
 * @param startMilliseconds the time of receipt, in milliseconds since the epoch
 * @param endMilliseconds the time of completion, in milliseconds since the epoch
 * @param outcome {@code finished}, {@code cancelled}, {@code refused}, {@code withdrawn}, {@code
 *     repeated}, {@code violation}
 * @param promptTokens the length of the prompt in tokens
 * @param firstToken the index of the first generated token
 * @param tokens the number of generated tokens
 * @param note additional information, such as the kind of a violation
 */
public record LedgerEntry(
    String upstream,
    String kind,
    Optional<String> requestIdentifier,
    String model,
    String target,
    Optional<String> idempotencyKey,
    String contentDigest,
    List<HeaderField> headers,
    long startMilliseconds,
    long endMilliseconds,
    String outcome,
    int promptTokens,
    int firstToken,
    int tokens,
    String note) {

  /** Copies the headers. */
  public LedgerEntry {
    headers = List.copyOf(headers);
  }
}
