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
 * The properties of a model request on which its scheduling depends.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the identifier of the request
 * @param baseModel the base model of the adapter
 * @param adapter the adapter and version that the request needs
 * @param clientAccount the client account of the caller
 * @param accountRate the rate of the client account in tokens per second, which is its weight in
 *     fair queueing
 * @param priority the priority of the request
 * @param promptTokens the length of the prompt in tokens
 * @param expectedOutputTokens the expected length of the answer in tokens
 * @param prefixHash a hash of the prompt prefix, if the prefix is long enough to be worth reusing
 * @param startWithin the maximum time that the request may wait for its dispatch
 * @param excluded the engines that it must not be dispatched to, such as one that failed to serve
 *     it
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

  /** The cost of a prompt token relative to that of a generated token. */
  private static final double PROMPT_TOKEN_COST = 0.1;

  /** Validates the components and copies the excluded engines. */
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

  /** Returns this request for a resubmission that also excludes an engine. */
  public ModelRequest excluding(UpstreamName upstream) {
    Set<UpstreamName> extended = new HashSet<>(excluded);
    extended.add(upstream);
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
        extended);
  }

  /** Returns the expected cost of the request, in generated tokens. */
  double cost() {
    return Math.max(1, expectedOutputTokens + PROMPT_TOKEN_COST * promptTokens);
  }
}
