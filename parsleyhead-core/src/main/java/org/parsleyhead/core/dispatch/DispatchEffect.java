package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.Instance;

/** What the decisions on requests ask for. Implementations are immutable and thread-safe. */
public sealed interface DispatchEffect {

  /**
   * Send the request to an instance.
   *
   * @param request the request
   * @param attempt the number of the send, from 1
   * @param instance where to
   * @param timeLeft how long the instance may work
   * @param urgency from 0, the most urgent, to 9
   * @param account the client account that the instance is told
   * @param stream whether the answer is a stream
   * @param repeatable whether it may be sent again after it may have run
   * @param adapterVersion the declared version of the adapter; 0 if none was declared
   * @param inputs what decided the choice, for the log
   */
  record Send(
      ServingRequest request,
      int attempt,
      Instance instance,
      Duration timeLeft,
      int urgency,
      Optional<ClientAccountName> account,
      boolean stream,
      boolean repeatable,
      long adapterVersion,
      String inputs)
      implements DispatchEffect {}

  /** End the request with an answer of this host's own. */
  record Refuse(ServingRequest request, DispatchRefusal refusal, String inputs)
      implements DispatchEffect {}

  /** Deliver the answer of an instance that was held back. */
  record DeliverHeld(ServingRequest request, int status) implements DispatchEffect {}

  /** Break off an answer that has begun and cannot be finished. */
  record Abort(ServingRequest request, String reason) implements DispatchEffect {}

  /** Close the connection of a send; nothing more of it may reach the caller. */
  record CancelAttempt(ServingRequest request, int attempt, String reason)
      implements DispatchEffect {}

  /** Ask the host that gives orders to an instance to load an adapter. */
  record AskLoad(String instance, AdapterKey adapter, String identifier)
      implements DispatchEffect {}

  /** Raise a wake event after a time. */
  record WakeAfter(long requestKey, int wakeNumber, Duration delay) implements DispatchEffect {}

  /** The request has ended with the whole answer. */
  record Finished(ServingRequest request, int attempts, Duration elapsed)
      implements DispatchEffect {}
}
