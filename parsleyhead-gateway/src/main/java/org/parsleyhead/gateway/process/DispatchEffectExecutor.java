package org.parsleyhead.gateway.process;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.dispatch.DispatchRefusal;
import org.parsleyhead.core.dispatch.ModelWork;
import org.parsleyhead.core.dispatch.ServingRequest;
import org.parsleyhead.core.fleet.FleetEvent;
import org.parsleyhead.gateway.api.HttpDialect;
import org.parsleyhead.gateway.callers.CallerListener;
import org.parsleyhead.gateway.callers.Exchange;
import org.parsleyhead.gateway.upstreams.UpstreamClient;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Executes the effects of the dispatch duty and passes events of callers and attempts to it.
 *
 * <p>Effects are accepted on the dispatch duty; exchanges and upstreams are accessed only on the
 * event loop, which decides whether an exchange has ended: a decision of the duty that crosses the
 * end of an answer is logged and changes nothing.
 */
final class DispatchEffectExecutor implements Consumer<DispatchEffect>, CallerListener {

  private static final EventLog LOG = new EventLog("dispatch");
  private static final byte[] NO_CONTENT = new byte[0];

  private final EventLoop eventLoop;
  private final HttpDialect dialect;
  private final UpstreamClient upstreams;
  private final EventSender<DispatchEvent> dispatch;
  private final Ring<FleetEvent> fleet;
  private final GatewayMetrics metrics;
  private final WaitReports waits;
  private final Map<Long, Exchange> exchanges = new HashMap<>();

  DispatchEffectExecutor(
      EventLoop eventLoop,
      HttpDialect dialect,
      UpstreamClient upstreams,
      EventSender<DispatchEvent> dispatch,
      Ring<FleetEvent> fleet,
      GatewayMetrics metrics) {
    this.eventLoop = eventLoop;
    this.dialect = dialect;
    this.upstreams = upstreams;
    this.dispatch = dispatch;
    this.fleet = fleet;
    this.metrics = metrics;
    this.waits = new WaitReports(metrics);
  }

  @Override
  public boolean requestReceived(Exchange exchange) {
    long key = exchange.request().key();
    exchanges.put(key, exchange);
    if (dispatch.offer(new DispatchEvent.Received(exchange.request()))) {
      return true;
    }
    exchanges.remove(key);
    metrics.requestRefused(DispatchRefusal.Code.OVERLOADED);
    LOG.request("refused", "request", exchange.request().identifier(), "code", "OVERLOADED");
    return false;
  }

  @Override
  public void callerDisconnected(Exchange exchange) {
    exchanges.remove(exchange.request().key());
    dispatch.send(new DispatchEvent.CallerDisconnected(exchange.request().key()));
  }

  @Override
  public void requestRejected(int status, String reason) {
    LOG.request("rejected", "status", status, "reason", reason);
  }

  @Override
  public void accept(DispatchEffect effect) {
    if (effect instanceof DispatchEffect.RequestLoad load) {
      LOG.request(
          "load_asked",
          "request",
          load.identifier(),
          "instance",
          load.instance(),
          "adapter",
          load.adapter(),
          "priority",
          load.rank().priority(),
          "waited_ms",
          load.rank().waited().toMillis(),
          "work_ms",
          load.rank().work().toMillis());
      if (!fleet.offer(new FleetEvent.LoadNeeded(load.instance(), load.adapter(), load.rank()))) {
        dispatch.send(new DispatchEvent.LoadRefused(load.instance(), load.adapter(), "ring_full"));
      }
      return;
    }
    if (effect instanceof DispatchEffect.TellQuarantine tell) {
      fleet.offer(new FleetEvent.QuarantineChanged(tell.reports(), tell.audience()));
      return;
    }
    if (effect instanceof DispatchEffect.StandingChanged changed) {
      standingChanged(changed);
      return;
    }
    eventLoop.execute(() -> executeEffect(effect));
  }

  private void standingChanged(DispatchEffect.StandingChanged changed) {
    LOG.warning(
        "standing_changed",
        "trait",
        changed.trait().name(),
        "standing",
        changed.standing(),
        "losses",
        changed.losses(),
        "heard_from",
        changed.source());
    metrics.standingChanged(changed.standing());
  }

  private void executeEffect(DispatchEffect effect) {
    if (effect instanceof DispatchEffect.WakeAfter wake) {
      wakeAfter(wake);
    } else if (effect instanceof DispatchEffect.Send send) {
      send(send);
    } else if (effect instanceof DispatchEffect.Refuse refuse) {
      refuse(refuse);
    } else if (effect instanceof DispatchEffect.CancelAttempt cancel) {
      cancelAttempt(cancel);
    } else if (effect instanceof DispatchEffect.WithdrawAttempt withdraw) {
      upstreams.withdraw(withdraw);
    } else if (effect instanceof DispatchEffect.ResumptionDelayed delayed) {
      LOG.request(
          "resumption_delayed",
          "request",
          delayed.request().identifier(),
          "code",
          delayed.code(),
          "time_left_ms",
          delayed.timeLeft().toMillis());
    } else if (effect instanceof DispatchEffect.WaitBegan began) {
      waits.began(began);
    } else if (effect instanceof DispatchEffect.WaitEnded ended) {
      waits.ended(ended);
    } else if (effect instanceof DispatchEffect.DeliverBufferedResponse deliver) {
      deliverBufferedResponse(deliver);
    } else if (effect instanceof DispatchEffect.Abort abort) {
      removeOpenExchange(abort.request(), abort.reason())
          .ifPresent(exchange -> breakOff(exchange, abort.reason(), abort.inputs()));
    } else if (effect instanceof DispatchEffect.EventFailed failed) {
      metrics.dutyFailed("dispatch");
      LOG.failure(
          "event_failed", failed.failure(), "event", failed.event(), "key", failed.requestKey());
    } else if (effect instanceof DispatchEffect.Finished finished) {
      removeExchange(finished.request().key());
      LOG.request(
          "finished",
          "request",
          finished.request().identifier(),
          "attempts",
          finished.attempts(),
          "elapsed_ms",
          finished.elapsed().toMillis());
      metrics.requestFinished(finished.elapsed());
    }
  }

  private void wakeAfter(DispatchEffect.WakeAfter wake) {
    eventLoop.schedule(
        () -> dispatch.send(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())),
        Math.max(0, wake.delay().toNanos()),
        TimeUnit.NANOSECONDS);
  }

  private void send(DispatchEffect.Send send) {
    Exchange exchange = exchanges.get(send.request().key());
    LOG.request(
        "sent",
        "request",
        send.request().identifier(),
        "attempt",
        send.attempt(),
        "instance",
        send.instance().identifier(),
        "time_left_ms",
        send.timeLeft().toMillis(),
        "parts",
        send.request().work().map(ModelWork::sharedPartNames).orElse(""),
        "inputs",
        send.inputs());
    metrics.requestSent(send.attempt());
    if (exchange != null) {
      upstreams.send(send, exchange);
    }
  }

  private void cancelAttempt(DispatchEffect.CancelAttempt cancel) {
    if (upstreams.cancel(cancel.request().key(), cancel.attempt())) {
      LOG.request(
          "send_cancelled",
          "request",
          cancel.request().identifier(),
          "attempt",
          cancel.attempt(),
          "reason",
          cancel.reason());
    }
  }

  private void refuse(DispatchEffect.Refuse refuse) {
    DispatchRefusal refusal = refuse.refusal();
    Optional<Exchange> open = removeOpenExchange(refuse.request(), refusal.code().name());
    if (open.isEmpty()) {
      return;
    }
    if (open.get().responseStarted()) {
      breakOff(open.get(), refusal.code().name(), refuse.inputs());
      return;
    }
    LOG.request(
        "refused",
        "request",
        refuse.request().identifier(),
        "code",
        refusal.code(),
        "status",
        refusal.code().status(),
        "inputs",
        refuse.inputs());
    metrics.requestRefused(refusal.code());
    if (refusal.closesConnection()) {
      open.get().closeAfterResponse();
    }
    open.get()
        .respond(
            HttpResponseStatus.valueOf(refusal.code().status()),
            dialect.refusalHeaders(refuse.request(), refusal),
            NO_CONTENT);
  }

  private void deliverBufferedResponse(DispatchEffect.DeliverBufferedResponse deliver) {
    Optional<Exchange> open = removeOpenExchange(deliver.request(), "failure");
    if (open.isEmpty()) {
      return;
    }
    if (open.get().responseStarted()) {
      breakOff(open.get(), DispatchRefusal.Code.UPSTREAM_FAILED.name(), "");
      return;
    }
    LOG.request(
        "failure_delivered", "request", deliver.request().identifier(), "status", deliver.status());
    metrics.failureDelivered();
    open.get().deliverBufferedResponse();
  }

  /** Closes the connection to a caller whose response has started and cannot be completed. */
  private void breakOff(Exchange exchange, String reason, String inputs) {
    exchange.abort();
    LOG.request(
        "broken_off",
        "request",
        exchange.request().identifier(),
        "reason",
        reason,
        "inputs",
        inputs);
    metrics.responseAborted();
  }

  /**
   * Removes the exchange of a request that the duty has ended; empty if the exchange has ended by
   * itself meanwhile, which the duty does not know of yet.
   *
   * @param decision what the duty has decided, for the log
   */
  private Optional<Exchange> removeOpenExchange(ServingRequest request, String decision) {
    Optional<Exchange> known = removeExchange(request.key());
    Optional<Exchange> open = known.filter(exchange -> !exchange.ended());
    if (open.isEmpty()) {
      LOG.request(
          known.isPresent() ? "already_answered" : "caller_left",
          "request",
          request.identifier(),
          "decision",
          decision);
    }
    return open;
  }

  private Optional<Exchange> removeExchange(long key) {
    return Optional.ofNullable(exchanges.remove(key));
  }
}
