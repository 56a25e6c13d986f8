package org.parsleyhead.core.request;

import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.ticket.RouteItem;

/**
 * A request that was received and has not ended yet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param description the attributes of the request that decisions use
 * @param route the route that matched its path
 * @param clientAccount the client account that is charged; empty on open routes
 * @param adapter the adapter and version that are called; empty for plain services
 * @param received the time at which it was received
 * @param deadline the time at which it is refused if it has not finished
 * @param phase the current phase
 * @param attempts the attempts to send it to upstreams
 */
record ActiveRequest(
    RequestDescription description,
    RouteItem route,
    Optional<ClientAccountName> clientAccount,
    Optional<AdapterReference> adapter,
    MonotonicTime received,
    MonotonicTime deadline,
    Phase phase,
    Attempts attempts) {

  static ActiveRequest received(
      RequestDescription description,
      RouteItem route,
      Optional<ClientAccountName> clientAccount,
      Optional<AdapterReference> adapter,
      MonotonicTime time) {
    return new ActiveRequest(
        description,
        route,
        clientAccount,
        adapter,
        time,
        time.plus(route.deadline()),
        Phase.ADMITTING,
        Attempts.NONE);
  }

  ActiveRequest withPhase(Phase next) {
    return with(next, attempts);
  }

  ActiveRequest with(Attempts next) {
    return with(phase, next);
  }

  ActiveRequest with(Phase nextPhase, Attempts nextAttempts) {
    return new ActiveRequest(
        description, route, clientAccount, adapter, received, deadline, nextPhase, nextAttempts);
  }

  RequestIdentifier identifier() {
    return description.identifier();
  }

  boolean isModelCall() {
    return adapter.isPresent();
  }

  boolean isStreamed() {
    return isModelCall() && description.modelCall().orElseThrow().streamed();
  }

  /** The phase of an active request. */
  enum Phase {
    /** Waits for the reservation of its tokens. */
    ADMITTING,
    /** Waits for the result of the repeat check. */
    CHECKING_REPEAT,
    /** Waits until an upstream is chosen. */
    QUEUED,
    /** Has been sent to an upstream. */
    RUNNING
  }
}
