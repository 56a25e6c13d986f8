package org.parsleyhead.core.request;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.UpstreamItem;

/** What happens to requests. All events are immutable. */
public sealed interface RequestEvent {

  /**
   * A request was received in full.
   *
   * @param description what is known of it
   */
  record Received(RequestDescription description) implements RequestEvent {}

  /**
   * The tokens of a request are reserved.
   *
   * @param identifier the request
   */
  record Admitted(RequestIdentifier identifier) implements RequestEvent {}

  /**
   * The tokens of a request are not to be had.
   *
   * @param identifier the request
   * @param permanent whether the request can never be admitted
   * @param retryAfter when a new attempt makes sense
   */
  record NotAdmitted(RequestIdentifier identifier, boolean permanent, Duration retryAfter)
      implements RequestEvent {}

  /**
   * It is decided whether a request that is not idempotent may run.
   *
   * @param identifier the request
   * @param result the decision
   */
  record RepeatChecked(RequestIdentifier identifier, RepeatCheckResult result)
      implements RequestEvent {}

  /**
   * An upstream was chosen for a request.
   *
   * @param identifier the request
   * @param upstream the upstream
   * @param writeBefore until when the request may be written
   */
  record Dispatched(RequestIdentifier identifier, UpstreamItem upstream, MonotonicTime writeBefore)
      implements RequestEvent {}

  /**
   * No upstream will be chosen for a request.
   *
   * @param identifier the request
   * @param reason an explanation for people
   * @param retryAfter when a new attempt makes sense
   */
  record NotDispatched(RequestIdentifier identifier, String reason, Optional<Duration> retryAfter)
      implements RequestEvent {}

  /**
   * The first part of an answer was passed to the caller.
   *
   * @param identifier the request
   * @param attempt the number of the attempt
   */
  record AnswerStarted(RequestIdentifier identifier, int attempt) implements RequestEvent {}

  /**
   * The whole answer was passed to the caller.
   *
   * @param identifier the request
   * @param attempt the number of the attempt
   * @param tokens the tokens that the request used, prompt included
   */
  record AnswerFinished(RequestIdentifier identifier, int attempt, long tokens)
      implements RequestEvent {}

  /**
   * An attempt failed.
   *
   * @param identifier the request
   * @param attempt the number of the attempt
   * @param stage how far it had come
   * @param tokensPassed the generated tokens that were passed to the caller, over all attempts
   * @param reason an explanation for people
   */
  record AttemptFailed(
      RequestIdentifier identifier,
      int attempt,
      FailureStage stage,
      int tokensPassed,
      String reason)
      implements RequestEvent {}

  /**
   * The caller closed its connection or cancelled.
   *
   * @param identifier the request
   * @param tokensPassed the generated tokens that were passed to the caller
   */
  record CallerGone(RequestIdentifier identifier, int tokensPassed) implements RequestEvent {}

  /**
   * Another catalogue is in force.
   *
   * @param catalogue the catalogue
   * @param withdrawnKeys the digests of keys that no longer count
   */
  record CatalogueChanged(Catalogue catalogue, Set<String> withdrawnKeys) implements RequestEvent {}

  /** Time passed. */
  record Tick() implements RequestEvent {}
}
