package org.parsleyhead.entry.process;

import java.util.function.LongSupplier;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.idempotency.RepeatEffect;
import org.parsleyhead.core.idempotency.RepeatEvent;
import org.parsleyhead.core.quota.QuotaEffect;
import org.parsleyhead.core.quota.QuotaEvent;
import org.parsleyhead.core.quota.RefusalReason;
import org.parsleyhead.core.request.AttemptResult;
import org.parsleyhead.core.request.RequestEffect;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.core.routing.AttemptOutcome;
import org.parsleyhead.core.routing.RoutingEvent;
import org.parsleyhead.core.scheduling.RequestOutcome;
import org.parsleyhead.core.scheduling.SchedulingEvent;

/**
 * Connects the request duty to the duties that make decisions for it, through their rings.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestWiring {

  private RequestWiring() {}

  /** Creates the ports that turn effects of the request duty into events of other duties. */
  static RequestPorts ports(Rings rings, LongSupplier random) {
    return new RequestPorts(
        reserve ->
            rings
                .quota()
                .offer(
                    new QuotaEvent.Reserve(
                        reserve.identifier(), reserve.clientAccount(), reserve.tokens())),
        settle ->
            rings
                .quota()
                .offer(
                    new QuotaEvent.Settle(
                        settle.identifier(), settle.clientAccount(), settle.tokens())),
        release ->
            rings
                .quota()
                .offer(new QuotaEvent.Release(release.identifier(), release.clientAccount())),
        check -> rings.repeat().offer(new RepeatEvent.Check(check.identifier(), check.repeatKey())),
        forget -> rings.repeat().offer(new RepeatEvent.Release(forget.identifier())),
        submit -> rings.scheduling().offer(new SchedulingEvent.Submitted(submit.request())),
        submit -> rings.routing().offer(upstreamRequested(submit, random.getAsLong())),
        withdraw -> withdraw(rings, withdraw));
  }

  /** Executes an effect of the quota duty: passes its decisions on to the request duty. */
  static void executeQuotaEffect(
      Rings rings, PeerRouter peers, RightsBarrier barrier, QuotaEffect effect) {
    if (effect instanceof QuotaEffect.Send send) {
      peers.send(send.receiver(), send.message());
    } else if (effect instanceof QuotaEffect.Admitted admitted) {
      rings.request().offer(new RequestEvent.Admitted(admitted.request()));
    } else if (effect instanceof QuotaEffect.Refused refused) {
      boolean permanent = refused.reason() == RefusalReason.LARGER_THAN_BURST;
      rings
          .request()
          .offer(new RequestEvent.NotAdmitted(refused.request(), permanent, refused.retryAfter()));
    } else if (effect instanceof QuotaEffect.RightsApplied applied) {
      barrier.appliedByQuota(applied.sequence());
    }
  }

  /** Executes an effect of duplicate detection: passes its results on to the request duty. */
  static void executeRepeatEffect(Rings rings, PeerRouter peers, RepeatEffect effect) {
    if (effect instanceof RepeatEffect.Send send) {
      peers.send(send.receiver(), send.message());
    } else if (effect instanceof RepeatEffect.Checked checked) {
      rings.request().offer(new RequestEvent.RepeatChecked(checked.identifier(), checked.result()));
    }
  }

  private static void withdraw(Rings rings, RequestEffect.Withdraw withdraw) {
    rings.scheduling().offer(schedulingEvent(withdraw));
    withdraw
        .upstream()
        .ifPresent(
            upstream ->
                rings
                    .routing()
                    .offer(
                        new RoutingEvent.AttemptEnded(
                            withdraw.identifier(), upstream, attemptOutcome(withdraw.result()))));
    if (withdraw.result() == AttemptResult.UNREACHABLE) {
      UpstreamName upstream = withdraw.upstream().orElseThrow();
      rings.scheduling().offer(new SchedulingEvent.UpstreamFailed(upstream));
    }
  }

  private static RoutingEvent upstreamRequested(
      RequestEffect.SubmitPlainCall call, long randomNumber) {
    return new RoutingEvent.UpstreamRequested(
        call.identifier(),
        call.route().upstreams(),
        call.excluded(),
        call.route().idempotent(),
        randomNumber);
  }

  private static AttemptOutcome attemptOutcome(AttemptResult result) {
    return switch (result) {
      case FINISHED, ADAPTER_ABSENT -> AttemptOutcome.ANSWERED;
      case UNREACHABLE, FAILED -> AttemptOutcome.FAILED;
      case TOO_LATE, CANCELLED -> AttemptOutcome.ABANDONED;
    };
  }

  private static SchedulingEvent schedulingEvent(RequestEffect.Withdraw withdraw) {
    if (withdraw.upstream().isEmpty()) {
      return new SchedulingEvent.Cancelled(withdraw.identifier());
    }
    RequestOutcome outcome =
        switch (withdraw.result()) {
          case FINISHED -> RequestOutcome.COMPLETED;
          case ADAPTER_ABSENT -> RequestOutcome.ADAPTER_MISSING;
          case UNREACHABLE, FAILED -> RequestOutcome.FAILED;
          case TOO_LATE, CANCELLED -> RequestOutcome.ABANDONED;
        };
    int tokens = (int) Math.min(Integer.MAX_VALUE, withdraw.tokens());
    return new SchedulingEvent.Finished(withdraw.identifier(), outcome, tokens);
  }
}
