package org.parsleyhead.load;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.asynchttpclient.AsyncHttpClient;
import org.parsleyhead.load.client.LoadClient;
import org.parsleyhead.load.plan.PlannedRequest;
import org.parsleyhead.load.plan.Schedule;
import org.parsleyhead.load.plan.TargetSelector;
import org.parsleyhead.load.result.LatencyFigures;
import org.parsleyhead.load.result.Outcome;
import org.parsleyhead.load.result.RunTotals;
import org.parsleyhead.load.settings.LoadSettings;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.log.EventLog;

/**
 * One run: the calling thread sends requests at their times, whatever has been answered, and a duty
 * counts the outcomes.
 *
 * <p>Used by one thread, once. An outcome that finds the ring full is lost and counted as lost.
 */
final class LoadRun {

  private static final int RING_CAPACITY = 262_144;
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration START_DELAY = Duration.ofMillis(200);
  private static final Duration END_GRACE = Duration.ofSeconds(5);
  private static final Duration END_CHECK_INTERVAL = Duration.ofMillis(20);

  private final LoadSettings settings;
  private final OutcomeFile file;
  private final EventLog log;
  private final LatencyFigures figures = new LatencyFigures();
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong lost = new AtomicLong();
  private final Duty<RunTotals, RunTotals.Event, RunTotals.Effect> duty;
  private final LoadClient client;

  LoadRun(LoadSettings settings, AsyncHttpClient http, OutcomeFile file, EventLog log) {
    this.settings = settings;
    this.file = file;
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
    this.client = new LoadClient(http, System::nanoTime, this::betweenTokens, this::ended);
  }

  /** Sends the whole schedule and waits for the outcomes; returns how long it took. */
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
    final Duration sending = Duration.ofNanos(System.nanoTime() - start);
    awaitOutcomes();
    duty.close();
    return sending;
  }

  RunTotals totals() {
    return duty.state();
  }

  LatencyFigures figures() {
    return figures;
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
    long limit = System.nanoTime() + settings.requestTimeout().plus(END_GRACE).toNanos();
    while (duty.state().ended() + lost.get() < sent.get()) {
      if (System.nanoTime() - limit > 0) {
        long missing = sent.get() - duty.state().ended() - lost.get();
        log.warning("outcomes_missing", "count", missing);
        lost.addAndGet(missing);
        return;
      }
      Thread.sleep(END_CHECK_INTERVAL.toMillis());
    }
  }

  private void ended(PlannedRequest request, Outcome outcome) {
    if (outcome.end() == Outcome.End.FAILED
        && request.attempt() <= request.traffic().repetition().retries()) {
      sent.incrementAndGet();
      long now = System.nanoTime();
      Duration due = request.due().plusNanos(outcome.totalNanoseconds());
      client.send(request.again(due, TargetSelector.other(settings, request.target())), now);
    }
    if (!duty.ring().offer(new RunTotals.Ended(outcome))) {
      lost.incrementAndGet();
    }
  }

  private void betweenTokens(PlannedRequest request, long nanoseconds) {
    if (request.due().compareTo(settings.warmUp()) >= 0) {
      figures.record(
          Outcome.Group.of(request.traffic()), LatencyFigures.Measure.BETWEEN_TOKENS, nanoseconds);
    }
  }

  private void carryOut(RunTotals.Effect effect) {
    if (effect instanceof RunTotals.Measure measure) {
      if (measure.outcome().dueNanoseconds() >= settings.warmUp().toNanos()) {
        figures.record(measure.outcome());
      }
    } else if (effect instanceof RunTotals.Keep keep) {
      file.keep(keep.outcome());
    }
  }
}
