package org.parsleyhead.core.request;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.UpstreamItem;

/** The events of {@link RequestTransition}. Implementations are immutable and thread-safe. */
public sealed interface RequestEvent {

  /**
   * A request was received completely.
   *
   * @param description the attributes of the request
   */
  record Received(RequestDescription description) implements RequestEvent {}

  /**
   * The tokens of a request were reserved.
   *
   * @param identifier the request
   */
  record Admitted(RequestIdentifier identifier) implements RequestEvent {}

  /**
   * The tokens of a request could not be reserved.
   *
   * @param identifier the request
   * @param permanent whether the request exceeds the burst and can never be admitted
   * @param retryAfter the delay after which the caller may retry; not used if {@code permanent}
   */
  record NotAdmitted(RequestIdentifier identifier, boolean permanent, Duration retryAfter)
      implements RequestEvent {}

  /**
   * The repeat check of a request that is not idempotent has finished.
   *
   * @param identifier the request
   * @param result the result of the check
   */
  record RepeatChecked(RequestIdentifier identifier, RepeatCheckResult result)
      implements RequestEvent {}

  /**
   * An upstream was chosen for a request.
   *
   * @param identifier the request
   * @param upstream the chosen upstream
   * @param writeDeadline the time after which the request must not be written
   */
  record Dispatched(
      RequestIdentifier identifier, UpstreamItem upstream, MonotonicTime writeDeadline)
      implements RequestEvent {}

  /**
   * No upstream could be chosen for a request.
   *
   * @param identifier the request
   * @param reason a human-readable explanation
   * @param retryAfter the delay after which the caller may retry, if one is known
   */
  record NotDispatched(RequestIdentifier identifier, String reason, Optional<Duration> retryAfter)
      implements RequestEvent {}

  /**
   * The first part of the answer was passed to the caller.
   *
   * @param identifier the request
   * @param attempt the number of the attempt
   */
  record AnswerStarted(RequestIdentifier identifier, int attempt) implements RequestEvent {}

  /**
   * The complete answer was passed to the caller.
   *
   * @param identifier the request
   * @param attempt the number of the attempt
   * @param tokens the tokens that the request used, including the prompt
   */
  record AnswerFinished(RequestIdentifier identifier, int attempt, long tokens)
      implements RequestEvent {}

  /**
   * An attempt failed.
   *
   * @param identifier the request
   * @param attempt the number of the attempt
   * @param stage the stage that the attempt had reached
   * @param tokensPassed the number of generated tokens passed to the caller in all attempts
   * @param reason a human-readable explanation
   */
  record AttemptFailed(
      RequestIdentifier identifier,
      int attempt,
      FailureStage stage,
      int tokensPassed,
      String reason)
      implements RequestEvent {}

  /**
   * The caller closed its connection or cancelled the request.
   *
   * @param identifier the request
   * @param tokensPassed the number of generated tokens passed to the caller
   */
  record CallerDisconnected(RequestIdentifier identifier, int tokensPassed)
      implements RequestEvent {}

  /**
   * A new catalogue is in force.
   *
   * @param catalogue the new catalogue
   * @param revokedKeys the digests of the keys that are no longer valid
   */
  record CatalogueChanged(Catalogue catalogue, Set<String> revokedKeys) implements RequestEvent {}

  /** Periodic event that triggers the check of deadlines. */
  record Tick() implements RequestEvent {}
}
