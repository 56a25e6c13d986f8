package org.parsleyhead.load;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.asynchttpclient.AsyncHttpClient;
import org.parsleyhead.load.client.LoadClient;
import org.parsleyhead.load.plan.PlannedRequest;
import org.parsleyhead.load.plan.Schedule;
import org.parsleyhead.load.plan.TargetSelector;
import org.parsleyhead.load.result.LatencyHistograms;
import org.parsleyhead.load.result.Outcome;
import org.parsleyhead.load.result.RunTotals;
import org.parsleyhead.load.settings.LoadSettings;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.log.EventLog;

/**
 * A single open-loop load run: the calling thread sends each request at its scheduled time,
 * regardless of outstanding responses, while a duty counts the outcomes.
 *
 * <p>Runs once, on the calling thread; outcomes arrive on the threads of the HTTP client. An
 * outcome that is offered to a full ring is dropped and counted as lost.
 */
final class LoadRun {

  private static final int RING_CAPACITY = 262_144;
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration START_DELAY = Duration.ofMillis(200);
  private static final Duration COMPLETION_GRACE_PERIOD = Duration.ofSeconds(5);
  private static final Duration COMPLETION_CHECK_INTERVAL = Duration.ofMillis(20);

  private final LoadSettings settings;
  private final OutcomeStore store;
  private final EventLog log;
  private final LatencyHistograms latencies = new LatencyHistograms();
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong lost = new AtomicLong();
  private final Duty<RunTotals, RunTotals.Event, RunTotals.Effect> duty;
  private final LoadClient client;

  LoadRun(LoadSettings settings, AsyncHttpClient http, OutcomeStore store, EventLog log) {
    this.settings = settings;
    this.store = store;
    this.log = log;
    this.duty =
        new Duty<>(
            new Ring<>("outcomes", RING_CAPACITY),
            RunTotals.EMPTY,
            RunTotals.TRANSITION,
            this::carryOut,
            RunTotals.Tick::new,
            TICK_INTERVAL,
            MonotonicClock.SYSTEM,
            failure -> log.failure("outcome_failed", failure));
    this.client =
        new LoadClient(http, System::nanoTime, this::recordInterTokenLatency, this::handleOutcome);
  }

  /** Sends the whole schedule, waits for the outcomes and returns the duration of the sending. */
  Duration run(String name) throws InterruptedException {
    duty.start();
    Schedule schedule = new Schedule(settings, name);
    final long start = System.nanoTime() + START_DELAY.toNanos();
    while (schedule.hasNext()) {
      PlannedRequest request = schedule.next();
      long due = start + request.due().toNanos();
      sleepUntil(due);
      sent.incrementAndGet();
      client.send(request, due);
    }
    sleepUntil(start + settings.duration().toNanos());
    final Duration sendingDuration = Duration.ofNanos(System.nanoTime() - start);
    awaitOutcomes();
    duty.close();
    return sendingDuration;
  }

  RunTotals totals() {
    return duty.state();
  }

  LatencyHistograms latencies() {
    return latencies;
  }

  long lostOutcomes() {
    return lost.get();
  }

  private static void sleepUntil(long time) throws InterruptedException {
    long remaining = time - System.nanoTime();
    if (remaining > 0) {
      TimeUnit.NANOSECONDS.sleep(remaining);
    }
  }

  private void awaitOutcomes() throws InterruptedException {
    long deadline =
        System.nanoTime() + settings.requestTimeout().plus(COMPLETION_GRACE_PERIOD).toNanos();
    while (duty.state().completed() + lost.get() < sent.get()) {
      if (System.nanoTime() - deadline > 0) {
        long missing = sent.get() - duty.state().completed() - lost.get();
        log.warning("outcomes_missing", "count", missing);
        lost.addAndGet(missing);
        return;
      }
      Thread.sleep(COMPLETION_CHECK_INTERVAL.toMillis());
    }
  }

  private void handleOutcome(PlannedRequest request, Outcome outcome) {
    if (outcome.result() == Outcome.RequestResult.FAILED
        && request.attempt() <= request.traffic().repetition().retries()) {
      sent.incrementAndGet();
      long now = System.nanoTime();
      Duration due = request.due().plusNanos(outcome.totalNanoseconds());
      client.send(
          request.nextAttempt(due, TargetSelector.targetAfter(settings, request.target())), now);
    }
    if (!duty.ring().offer(new RunTotals.RequestCompleted(outcome))) {
      lost.incrementAndGet();
    }
  }

  private void recordInterTokenLatency(PlannedRequest request, long nanoseconds) {
    if (request.due().compareTo(settings.warmUp()) >= 0) {
      latencies.record(
          Outcome.Group.of(request.traffic()),
          LatencyHistograms.LatencyMetric.INTER_TOKEN,
          nanoseconds);
    }
  }

  private void carryOut(RunTotals.Effect effect) {
    if (effect instanceof RunTotals.RecordLatency recording) {
      if (recording.outcome().dueNanoseconds() >= settings.warmUp().toNanos()) {
        latencies.record(recording.outcome());
      }
    } else if (effect instanceof RunTotals.StoreOutcome storage) {
      store.add(storage.outcome());
    }
  }
}
