package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.parsleyhead.core.quarantine.Trait;

/**
 * The event loop of a host and the servers behind it, on a manual clock. Servers fall silent, break
 * off and reject requests at random; events and effects cross each other on their way. On request,
 * servers take no connection either, and the host fails to handle events.
 *
 * <p>Confined to one thread.
 */
final class FakeStreamServers {

  private static final long MILLISECOND = 1_000_000;
  private static final long SILENCE = 1_200 * MILLISECOND;
  private static final long REPEATED_SILENCE = 400 * MILLISECOND;
  private static final long CONNECT_TIMEOUT = 400 * MILLISECOND;

  private final DispatchFixture host;
  private final Random random;
  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final Map<Long, Call> calls = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long now;
  private long sequence;
  private long lastEventArrival;
  private long lastEffectArrival;
  private final boolean faults;
  private int quarantineWaits;
  private int failedEvents;

  /**
   * Creates servers without any request.
   *
   * @param faults whether servers take no connection and events fail to be handled, at random
   */
  FakeStreamServers(DispatchFixture host, long seed, boolean faults) {
    this.host = host;
    this.faults = faults;
    this.random = new Random(seed);
  }

  /**
   * What became of the callers.
   *
   * @param quarantineWaits how often a stream waited because a trait of it was restricted
   * @param failedEvents how many events the host failed to handle
   */
  record Outcome(
      int complete,
      int refused,
      int brokenOff,
      int keptAttempts,
      int quarantineWaits,
      int failedEvents) {}

  /** Schedules an event of the host itself. */
  void at(Duration time, DispatchEvent event) {
    schedule(time.toNanos(), () -> execute(host.apply(event)));
  }

  /** Schedules the news of another host that restrict a trait, if no answer speaks for it. */
  void restrictAt(Duration time, Trait trait) {
    schedule(time.toNanos(), () -> execute(host.restrict(trait)));
  }

  /** Schedules a caller. */
  void call(Duration time, String path, int routeAttempts) {
    call(time, path, routeAttempts, DispatchFixture.work(DispatchFixture.ADAPTER));
  }

  /** Schedules a caller with some work. */
  void call(Duration time, String path, int routeAttempts, Optional<ModelWork> work) {
    schedule(
        time.toNanos(),
        () ->
            execute(
                host.receive(
                    path,
                    work,
                    FakeCallers.DEADLINE,
                    key -> calls.put(key, new Call(key, now, routeAttempts)))));
  }

  /** Runs until nothing is scheduled. */
  void run() {
    while (!queue.isEmpty()) {
      Scheduled next = queue.poll();
      host.advance(Duration.ofNanos(next.at - now));
      now = next.at;
      next.action.run();
    }
    for (Call call : calls.values()) {
      if (call.ending == null) {
        violations.add(call + " has no ending");
      }
    }
  }

  /** Returns the guarantees that were broken. */
  List<String> violations() {
    return violations;
  }

  Outcome outcome() {
    return new Outcome(
        count(Ending.COMPLETE),
        count(Ending.REFUSED),
        count(Ending.BROKEN_OFF),
        calls.values().stream().mapToInt(call -> call.keptAttempts).sum(),
        quarantineWaits,
        failedEvents);
  }

  private int count(Ending ending) {
    return (int) calls.values().stream().filter(call -> call.ending == ending).count();
  }

  private void deliver(DispatchEvent event) {
    if (faults && random.nextInt(100) < 3) {
      failedEvents++;
      fail(event);
    } else {
      execute(host.apply(event));
    }
  }

  /** Fails to handle an event; like a duty, drops it if it belongs to no active request. */
  private void fail(DispatchEvent event) {
    List<DispatchEffect> effects;
    try {
      effects = host.fail(event);
    } catch (IllegalStateException dropped) {
      effects = List.of();
    }
    execute(effects);
  }

  /** Passes an event to the duty; events keep their order. */
  private void report(DispatchEvent event) {
    lastEventArrival = Math.max(lastEventArrival, now + crossing());
    schedule(lastEventArrival, () -> deliver(event));
  }

  /** Passes effects to the event loop; effects keep their order. */
  private void execute(List<DispatchEffect> effects) {
    for (DispatchEffect effect : effects) {
      lastEffectArrival = Math.max(lastEffectArrival, now + crossing());
      schedule(lastEffectArrival, () -> executeNow(effect));
    }
  }

  private long crossing() {
    return random.nextInt(4 * (int) MILLISECOND);
  }

  private void executeNow(DispatchEffect effect) {
    if (effect instanceof DispatchEffect.WakeAfter wake) {
      schedule(
          now + Math.max(0, wake.delay().toNanos()),
          () -> report(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())));
    } else if (effect instanceof DispatchEffect.RequestLoad load) {
      report(new DispatchEvent.LoadRefused(load.instance(), load.adapter(), "no_slot"));
    } else if (effect instanceof DispatchEffect.Send send) {
      send(calls.get(send.request().key()), send);
    } else if (effect instanceof DispatchEffect.WithdrawAttempt withdraw) {
      withdraw(calls.get(withdraw.request().key()), withdraw);
    } else if (effect instanceof DispatchEffect.CancelAttempt cancel) {
      cancel(calls.get(cancel.request().key()), cancel.reason());
    } else if (effect instanceof DispatchEffect.ResumptionDelayed delayed) {
      quarantineWaits += delayed.code() == DispatchRefusal.Code.QUARANTINED ? 1 : 0;
    } else if (effect instanceof DispatchEffect.Abort abort) {
      breakOff(calls.get(abort.request().key()), abort.reason());
    } else if (effect instanceof DispatchEffect.Refuse refuse) {
      Call call = calls.get(refuse.request().key());
      if (call.started) {
        breakOff(call, refuse.refusal().code().name());
      } else {
        end(call, Ending.REFUSED);
      }
    } else if (effect instanceof DispatchEffect.DeliverBufferedResponse deliver) {
      end(calls.get(deliver.request().key()), Ending.REFUSED);
    }
  }

  private void send(Call call, DispatchEffect.Send send) {
    if (call.attempt != null || call.ending != null) {
      violations.add(call + " is sent although " + call.attempt + " " + call.ending);
    }
    Attempt attempt = new Attempt(call, send.attempt());
    call.attempt = attempt;
    call.sends++;
    int kind = random.nextInt(100);
    if (kind < 8) {
      endLater(attempt, AttemptOutcome.NO_ROOM);
    } else if (kind < 13) {
      endLater(attempt, AttemptOutcome.MISDIRECTED);
    } else if (kind < 18) {
      endLater(attempt, AttemptOutcome.FAILED);
    } else if (faults && kind < 25) {
      endAfter(CONNECT_TIMEOUT, attempt, AttemptOutcome.NOT_SENT);
    } else {
      attempt.remaining = 3 + random.nextInt(4);
      attempt.breaksAt = random.nextInt(100) < 15 ? random.nextInt(attempt.remaining) : -1;
      schedule(now + firstEventDelay(), () -> nextEvent(attempt));
    }
  }

  /** Draws some first events close to the check for silence. */
  private long firstEventDelay() {
    int kind = random.nextInt(100);
    if (kind < 60) {
      return (20 + random.nextInt(280)) * MILLISECOND;
    }
    return kind < 80
        ? (895 + random.nextInt(12)) * MILLISECOND
        : (300 + random.nextInt(1_700)) * MILLISECOND;
  }

  private long eventDelay() {
    return random.nextInt(100) < 15
        ? (300 + random.nextInt(1_700)) * MILLISECOND
        : (20 + random.nextInt(60)) * MILLISECOND;
  }

  private void endLater(Attempt attempt, AttemptOutcome outcome) {
    endAfter((5 + random.nextInt(100)) * MILLISECOND, attempt, outcome);
  }

  private void endAfter(long delay, Attempt attempt, AttemptOutcome outcome) {
    schedule(
        now + delay,
        () -> {
          if (attempt.live()) {
            attempt.end(outcome);
          }
        });
  }

  private void nextEvent(Attempt attempt) {
    if (!attempt.live()) {
      return;
    }
    if (attempt.remaining == attempt.breaksAt) {
      attempt.end(AttemptOutcome.BROKEN);
      return;
    }
    if (attempt.remaining == 0) {
      attempt.end(AttemptOutcome.COMPLETED);
      end(attempt.call, Ending.COMPLETE);
      return;
    }
    attempt.remaining--;
    attempt.lastEvent = now;
    if (!attempt.begun) {
      attempt.begun = true;
      attempt.call.started = true;
      report(new DispatchEvent.ResponseStarted(attempt.call.key, attempt.number));
      schedule(now + SILENCE, () -> checkSilence(attempt));
    }
    schedule(now + eventDelay(), () -> nextEvent(attempt));
  }

  private void checkSilence(Attempt attempt) {
    if (!attempt.live()) {
      return;
    }
    if (attempt.silent()) {
      report(new DispatchEvent.StreamSilent(attempt.call.key, attempt.number));
      schedule(now + REPEATED_SILENCE, () -> checkSilence(attempt));
    } else {
      schedule(attempt.lastEvent + SILENCE, () -> checkSilence(attempt));
    }
  }

  private void withdraw(Call call, DispatchEffect.WithdrawAttempt withdraw) {
    Attempt attempt = call.attempt;
    if (attempt == null || attempt.number != withdraw.attempt()) {
      return;
    }
    if (withdraw.answering() ? attempt.silent() : !attempt.begun) {
      attempt.end(AttemptOutcome.WITHDRAWN);
    } else {
      call.keptAttempts++;
      report(new DispatchEvent.AttemptKept(call.key, attempt.number));
    }
  }

  private void cancel(Call call, String reason) {
    if (call.attempt != null && call.started && !late(call)) {
      violations.add(call + " is cut from a server that goes on: " + reason);
    }
    call.attempt = null;
  }

  private boolean late(Call call) {
    return now >= call.receivedAt + FakeCallers.DEADLINE.toNanos();
  }

  private void breakOff(Call call, String reason) {
    if (call.ending != null) {
      return;
    }
    if (!late(call) && call.possibleRuns < call.routeAttempts) {
      violations.add(call + " is broken off: " + reason);
    }
    end(call, Ending.BROKEN_OFF);
  }

  /** Ends a call; like an exchange, it has one ending, and a later one is ignored. */
  private void end(Call call, Ending ending) {
    if (call.ending != null) {
      return;
    }
    call.ending = ending;
  }

  private void schedule(long at, Runnable action) {
    queue.add(new Scheduled(at, sequence++, action));
  }

  private enum Ending {
    COMPLETE,
    REFUSED,
    BROKEN_OFF
  }

  /** One caller. Confined to the thread of the servers. */
  private final class Call {

    private final long key;
    private final long receivedAt;
    private final int routeAttempts;
    private Attempt attempt;
    private boolean started;
    private int sends;
    private int possibleRuns;
    private int keptAttempts;
    private Ending ending;

    Call(long key, long receivedAt, int routeAttempts) {
      this.key = key;
      this.receivedAt = receivedAt;
      this.routeAttempts = routeAttempts;
    }

    @Override
    public String toString() {
      return "request %d after %d ms, %d sends, %d possible runs, started %s"
          .formatted(key, (now - receivedAt) / MILLISECOND, sends, possibleRuns, started);
    }
  }

  /** One attempt. Confined to the thread of the servers. */
  private final class Attempt {

    private final Call call;
    private final int number;
    private int remaining;
    private int breaksAt = -1;
    private boolean begun;
    private long lastEvent;

    Attempt(Call call, int number) {
      this.call = call;
      this.number = number;
    }

    boolean live() {
      return call.attempt == this;
    }

    boolean silent() {
      return now - lastEvent >= SILENCE;
    }

    void end(AttemptOutcome outcome) {
      call.attempt = null;
      if (!outcome.notRun()) {
        call.possibleRuns++;
      }
      boolean buffered =
          outcome == AttemptOutcome.FAILED
              || outcome == AttemptOutcome.NO_ROOM
              || outcome == AttemptOutcome.MISDIRECTED;
      report(
          new DispatchEvent.AttemptEnded(
              call.key,
              number,
              new AttemptResult(
                  outcome, buffered ? 500 : 0, begun, buffered, Optional.empty(), "test")));
    }
  }

  private record Scheduled(long at, long sequence, Runnable action)
      implements Comparable<Scheduled> {

    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
