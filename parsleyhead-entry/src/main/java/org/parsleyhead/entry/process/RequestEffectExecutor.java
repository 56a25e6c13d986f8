package org.parsleyhead.entry.process;

import java.util.Locale;
import java.util.function.Consumer;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.request.AttemptResult;
import org.parsleyhead.core.request.Refusal;
import org.parsleyhead.core.request.RequestEffect;
import org.parsleyhead.entry.callers.Exchange;
import org.parsleyhead.entry.upstream.UpstreamClient;
import org.parsleyhead.runtime.metrics.Metrics;

/**
 * Executes the effects of the request duty: on sockets directly, on other duties through their
 * rings.
 *
 * <p>Runs on the thread of the request duty and does not block.
 */
final class RequestEffectExecutor implements Consumer<RequestEffect> {

  private final ExchangeRegistry exchanges;
  private final UpstreamClient upstreams;
  private final RequestPorts ports;
  private final Metrics metrics;

  RequestEffectExecutor(
      ExchangeRegistry exchanges, UpstreamClient upstreams, RequestPorts ports, Metrics metrics) {
    this.exchanges = Preconditions.requireNonNull(exchanges, "exchanges");
    this.upstreams = Preconditions.requireNonNull(upstreams, "upstreams");
    this.ports = Preconditions.requireNonNull(ports, "ports");
    this.metrics = Preconditions.requireNonNull(metrics, "metrics");
  }

  @Override
  public void accept(RequestEffect effect) {
    if (effect instanceof RequestEffect.Reserve reserve) {
      ports.reserve().accept(reserve);
    } else if (effect instanceof RequestEffect.Settle settle) {
      ports.settle().accept(settle);
    } else if (effect instanceof RequestEffect.Release release) {
      ports.release().accept(release);
    } else if (effect instanceof RequestEffect.CheckRepeat check) {
      ports.checkRepeat().accept(check);
    } else if (effect instanceof RequestEffect.ForgetRepeat forget) {
      ports.forgetRepeat().accept(forget);
    } else if (effect instanceof RequestEffect.SubmitModelCall submit) {
      ports.submitModelCall().accept(submit);
    } else if (effect instanceof RequestEffect.SubmitPlainCall submit) {
      ports.submitPlainCall().accept(submit);
    } else if (effect instanceof RequestEffect.Withdraw withdraw) {
      count(withdraw);
      ports.withdraw().accept(withdraw);
    } else {
      executeOnExchange(effect);
    }
  }

  private void count(RequestEffect.Withdraw withdraw) {
    if (withdraw.result() == AttemptResult.FINISHED) {
      String upstream = withdraw.upstream().map(UpstreamName::text).orElse("");
      metrics.counter(EntryMetrics.COMPLETED_RESPONSES.with("upstream", upstream)).inc();
      metrics.counter(EntryMetrics.TOKENS).inc(withdraw.tokens());
    } else if (withdraw.upstream().isPresent()) {
      String result = withdraw.result().name().toLowerCase(Locale.ROOT);
      metrics.counter(EntryMetrics.INCOMPLETE_ATTEMPTS.with("result", result)).inc();
    }
  }

  private void count(Refusal refusal) {
    metrics
        .counter(
            EntryMetrics.REFUSALS
                .with("code", refusal.code().text())
                .with("outcome", refusal.outcome().text()))
        .inc();
  }

  private void executeOnExchange(RequestEffect effect) {
    if (effect instanceof RequestEffect.Refuse refuse) {
      count(refuse.refusal());
    }
    exchanges.find(effect.identifier()).ifPresent(exchange -> execute(effect, exchange));
    if (effect instanceof RequestEffect.CancelAttempt cancel) {
      upstreams.disconnect(cancel.identifier());
    }
  }

  private void execute(RequestEffect effect, Exchange exchange) {
    if (effect instanceof RequestEffect.Send send) {
      upstreams.send(send, exchange);
    } else if (effect instanceof RequestEffect.CancelAttempt cancel) {
      upstreams.cancel(cancel, exchange);
    } else if (effect instanceof RequestEffect.Refuse refuse) {
      exchange.refuse(refuse.refusal());
    } else if (effect instanceof RequestEffect.AnswerModels models) {
      exchange.respondWithModels(models.models());
    }
  }
}
