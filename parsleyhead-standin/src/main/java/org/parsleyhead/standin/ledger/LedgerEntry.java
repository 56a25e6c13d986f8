package org.parsleyhead.standin.ledger;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.standin.http.HeaderField;

/**
 * One piece of work of an upstream, or one violation that it saw.
 *
 * <p>Immutable and thread-safe.
 *
 * @param upstream the name of the upstream
 * @param kind {@code completion}, {@code call}, {@code load}, {@code unload}
 * @param requestIdentifier the value of {@code X-Request-Id}
 * @param model the model as the request named it, empty for calls of plain services
 * @param target method and path
 * @param idempotencyKey the value of {@code Idempotency-Key}
 * @param contentDigest the SHA-256 digest of the prompt or of the body, in hexadecimal
 * @param headers all header fields of the request
 * @param startMilliseconds when it started, in milliseconds since the epoch
 * @param endMilliseconds when it ended, in milliseconds since the epoch
 * @param outcome {@code finished}, {@code cancelled}, {@code refused}, {@code withdrawn}, {@code
 *     violation}
 * @param promptTokens the length of the prompt in tokens
 * @param firstToken the number of the first token that was generated
 * @param tokens how many tokens were generated
 * @param note what else there is to say, such as the kind of a violation
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
