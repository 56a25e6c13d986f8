package org.parsleyhead.core.scheduling;

import java.time.Duration;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.Priority;

/**
 * A request for a model, as far as its scheduling depends on it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier its identity
 * @param baseModel the base model of the adapter
 * @param adapter the adapter and version it has to run on
 * @param clientAccount the client account that it runs for
 * @param accountRate the rate of that client account in tokens per second; its weight in the shares
 * @param priority its class
 * @param promptTokens the length of the prompt in tokens
 * @param expectedOutputTokens the expected length of the answer in tokens
 * @param prefixHash a hash of the beginning of the prompt, if it is long enough to be worth reusing
 * @param startWithin the longest time that it may wait for its dispatch
 * @param excluded engines that it must not be sent to, such as one that just failed it
 */
public record ModelRequest(
    RequestIdentifier identifier,
    ModelName baseModel,
    AdapterReference adapter,
    ClientAccountName clientAccount,
    double accountRate,
    Priority priority,
    int promptTokens,
    int expectedOutputTokens,
    OptionalLong prefixHash,
    Duration startWithin,
    Set<UpstreamName> excluded) {

  /** The weight of a prompt token against a generated one in the cost of a request. */
  private static final double PROMPT_TOKEN_COST = 0.1;

  /** Checks and copies the parts. */
  public ModelRequest {
    Preconditions.requireNonNull(identifier, "identifier");
    Preconditions.requireNonNull(baseModel, "baseModel");
    Preconditions.requireNonNull(adapter, "adapter");
    Preconditions.requireNonNull(clientAccount, "clientAccount");
    Preconditions.require(accountRate > 0, "accountRate", "must be positive");
    Preconditions.requireNonNull(priority, "priority");
    Preconditions.requireNonNegative(promptTokens, "promptTokens");
    Preconditions.requireNonNegative(expectedOutputTokens, "expectedOutputTokens");
    Preconditions.requireNonNull(prefixHash, "prefixHash");
    Preconditions.requireNonNull(startWithin, "startWithin");
    excluded = Set.copyOf(excluded);
  }

  /** Returns this request, not to be sent to a further engine; for a resubmission. */
  public ModelRequest excluding(UpstreamName upstream) {
    Set<UpstreamName> more = new HashSet<>(excluded);
    more.add(upstream);
    return new ModelRequest(
        identifier,
        baseModel,
        adapter,
        clientAccount,
        accountRate,
        priority,
        promptTokens,
        expectedOutputTokens,
        prefixHash,
        startWithin,
        more);
  }

  /** Returns the work that the request is expected to cause, in generated tokens. */
  double cost() {
    return Math.max(1, expectedOutputTokens + PROMPT_TOKEN_COST * promptTokens);
  }
}
