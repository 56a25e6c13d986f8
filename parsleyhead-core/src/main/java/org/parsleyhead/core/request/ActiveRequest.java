package org.parsleyhead.core.request;

import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.ticket.RouteItem;

/**
 * A request between its receipt and its end.
 *
 * <p>Immutable and thread-safe.
 *
 * @param description what is known of it
 * @param route the route it was received on
 * @param clientAccount the client account it runs for; empty on open routes
 * @param adapter the adapter and version; empty for plain services
 * @param received when it was received
 * @param deadline when it is given up
 * @param phase where it stands
 * @param attempts its attempts at upstreams
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

  ActiveRequest in(Phase next) {
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

  /** Where a request stands. */
  enum Phase {
    /** Its tokens are being reserved. */
    ADMITTING,
    /** It is being checked for repetition. */
    CHECKING_REPEAT,
    /** It waits for an upstream. */
    QUEUED,
    /** It was sent to an upstream. */
    RUNNING
  }
}
