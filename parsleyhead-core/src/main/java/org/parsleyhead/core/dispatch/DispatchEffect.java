package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.overload.RequestRank;
import org.parsleyhead.core.overload.WaitLine;
import org.parsleyhead.core.quarantine.Audience;
import org.parsleyhead.core.quarantine.Standing;
import org.parsleyhead.core.quarantine.Trait;
import org.parsleyhead.core.quarantine.TraitReport;

/** The effects of {@link DispatchTransition}. Implementations are immutable and thread-safe. */
public sealed interface DispatchEffect {

  /**
   * Sends the request to an instance.
   *
   * @param request the request
   * @param attempt the number of the attempt, from 1
   * @param instance the target instance
   * @param timeLeft the time until the deadline of the request
   * @param urgency from 0, the most urgent, to 9
   * @param account the client account that is sent to the instance
   * @param stream whether the response is a stream
   * @param repeatable whether the request may be sent again after it may have run
   * @param adapterVersion the declared version of the adapter; 0 if none was declared
   * @param inputs the inputs of the choice, for the log
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

  /** Refuses the request with a response of this host. */
  record Refuse(ServingRequest request, DispatchRefusal refusal, String inputs)
      implements DispatchEffect {}

  /** Delivers the buffered response of an instance. */
  record DeliverBufferedResponse(ServingRequest request, int status) implements DispatchEffect {}

  /** Aborts a response that has started and cannot be completed. */
  record Abort(ServingRequest request, String reason, String inputs) implements DispatchEffect {}

  /** Cancels an attempt; no further part of its response may reach the caller. */
  record CancelAttempt(ServingRequest request, int attempt, String reason)
      implements DispatchEffect {}

  /**
   * Cancels an attempt whose instance is silent, and reports its end as {@link
   * AttemptOutcome#WITHDRAWN}. If the instance has sent events meanwhile, the attempt is reported
   * as kept. Does nothing if it has ended, which is reported by itself.
   *
   * @param request the request
   * @param attempt the number of the attempt
   * @param answering whether the attempt was known to have begun to answer
   * @param reason the reason, for the log
   */
  record WithdrawAttempt(ServingRequest request, int attempt, boolean answering, String reason)
      implements DispatchEffect {}

  /**
   * Reports that a stream that has started waits for an instance that can resume it.
   *
   * @param request the request
   * @param code why no instance can resume it now
   * @param timeLeft the time until the deadline of the request
   */
  record ResumptionDelayed(ServingRequest request, DispatchRefusal.Code code, Duration timeLeft)
      implements DispatchEffect {}

  /** Asks the owner of an instance to order the load of an adapter for a request with a rank. */
  record RequestLoad(String instance, AdapterKey adapter, String identifier, RequestRank rank)
      implements DispatchEffect {}

  /**
   * Reports that a request waits for capacity.
   *
   * @param request the request
   * @param line what it waits for
   * @param rank its rank
   * @param expectedWait the expected wait
   */
  record WaitBegan(ServingRequest request, WaitLine line, RequestRank rank, Duration expectedWait)
      implements DispatchEffect {}

  /**
   * Reports that a request that waited goes on, since there is capacity.
   *
   * @param request the request
   * @param line what it waited for
   * @param waited the time for which it waited
   * @param expectedWait the wait that was expected
   */
  record WaitEnded(ServingRequest request, WaitLine line, Duration waited, Duration expectedWait)
      implements DispatchEffect {}

  /**
   * Tells other hosts the evidence about requests that may end their servers.
   *
   * @param reports the evidence
   * @param audience the hosts that it is meant for
   */
  record TellQuarantine(List<TraitReport> reports, Audience audience) implements DispatchEffect {}

  /**
   * Reports what is now concluded about a trait.
   *
   * @param trait the trait
   * @param standing its standing
   * @param losses the number of server runs whose loss speaks against it
   * @param source what the change follows from, for the log
   */
  record StandingChanged(Trait trait, Standing standing, int losses, String source)
      implements DispatchEffect {}

  /** Schedules a wake event. */
  record WakeAfter(long requestKey, int wakeNumber, Duration delay) implements DispatchEffect {}

  /** Reports that the request completed with a whole response. */
  record Finished(ServingRequest request, int attempts, Duration elapsed)
      implements DispatchEffect {}

  /**
   * Reports that an event of a request could not be handled.
   *
   * @param event the type of the event
   * @param failure the unexpected failure
   */
  record EventFailed(String event, long requestKey, RuntimeException failure)
      implements DispatchEffect {}
}
