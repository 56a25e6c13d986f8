package org.parsleyhead.core.dispatch;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.serving.AccountLimits;
import org.parsleyhead.core.serving.ServiceRoute;

/**
 * A request that has been admitted and not yet completed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request the request as received
 * @param catalogueVersion the version of the catalogue in force when the request was admitted
 * @param route the route that matched then
 * @param service the service that the request was assigned to
 * @param account the client account; empty if the request carries no known key
 * @param units the units that were charged to the account
 * @param urgency from 0, the most urgent, to 9
 * @param receivedAt when the request was received
 * @param deadline the instant by which the response must be complete
 * @param prefixHashes the hashes of the prefixes of its prompt, the shortest first
 * @param progress the progress of the request
 */
record ActiveRequest(
    ServingRequest request,
    long catalogueVersion,
    ServiceRoute route,
    String service,
    Optional<AccountLimits> account,
    double units,
    int urgency,
    MonotonicTime receivedAt,
    MonotonicTime deadline,
    List<Long> prefixHashes,
    Progress progress) {

  /**
   * Attempts per request whose response has not started, including those that are known not to have
   * run.
   */
  static final int MAXIMUM_ATTEMPTS = 4;

  ActiveRequest with(Progress next) {
    return new ActiveRequest(
        request,
        catalogueVersion,
        route,
        service,
        account,
        units,
        urgency,
        receivedAt,
        deadline,
        prefixHashes,
        next);
  }

  long key() {
    return request.key();
  }

  /** Returns the priority of the client account, else of the route; 0 is the most urgent. */
  int priority() {
    int priority =
        account.map(limits -> limits.priority().orElse(route.priority())).orElse(route.priority());
    return Math.max(0, priority);
  }

  boolean expired(MonotonicTime time) {
    return !time.isBefore(deadline);
  }

  /** Returns whether an attempt is the current one and has not ended. */
  boolean atInstance(int attempt) {
    return progress.phase() == Phase.SENT && progress.attempts() == attempt;
  }

  /** Returns this request after its current attempt has ended and its load was released. */
  ActiveRequest withAttemptEnded(AttemptResult result) {
    String instance = progress.instance().orElseThrow();
    AttemptHistory history = progress.history();
    AttemptHistory counted =
        switch (result.outcome()) {
          case WITHDRAWN -> history.withLeft(instance);
          case FAILED, BROKEN, COMPLETED -> history.withEnded(instance);
          case NOT_SENT, MISDIRECTED, NO_ROOM -> history.withoutRun();
        };
    Progress ended =
        progress.withAttemptEnded(
            result.outcome() == AttemptOutcome.MISDIRECTED
                ? counted.withMisdirected(instance)
                : counted.withExcluded(instance));
    return with(
        result.responseStarted() && !ended.responseStarted() ? ended.withResponseStarted() : ended);
  }

  /** Returns whether the request may be sent again although earlier attempts may have run. */
  boolean mayRunAgain() {
    return route.kind().repeatable() && progress.possibleRuns() < route.attempts();
  }

  /**
   * Returns whether a response that has started, and may not run at another instance, may be
   * resumed at one that was left for its silence.
   */
  boolean mayReturn() {
    return progress.responseStarted()
        && route.kind().repeatable()
        && progress.possibleRuns() >= route.attempts()
        && !progress.history().left().isEmpty();
  }

  /** Returns whether the request may be sent to an instance, as far as earlier attempts tell. */
  boolean maySendTo(String instance) {
    return mayReturn()
        ? progress.history().left().contains(instance)
        : !progress.excludedInstances().contains(instance);
  }

  /** Returns whether one more attempt is allowed, whatever the retry budget. */
  boolean mayBeSentAgain() {
    boolean runAllowed = progress.possibleRuns() == 0 || mayRunAgain() || mayReturn();
    return runAllowed && (progress.responseStarted() || progress.attempts() < MAXIMUM_ATTEMPTS);
  }

  /**
   * Returns the effect that withdraws the current attempt unless its server has sent something that
   * this duty does not know of yet. The end of the attempt dispatches the request again.
   */
  DispatchEffect withdrawal(String reason) {
    return new DispatchEffect.WithdrawAttempt(
        request, progress.attempts(), progress.assignment().answering(), reason);
  }
}
