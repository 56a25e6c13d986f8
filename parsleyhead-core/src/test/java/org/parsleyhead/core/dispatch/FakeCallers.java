package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.parsleyhead.core.instance.AdapterKey;

/**
 * Callers that send requests at a constant rate to one host before model servers, all on a manual
 * clock. Emulates the servers and the owner that orders their loads.
 *
 * <p>Confined to one thread. A caller that is refused returns once, after the Retry-After, if that
 * is at most a third of the time that it has left.
 */
final class FakeCallers {

  static final Duration DEADLINE = Duration.ofSeconds(5);

  private static final long RESPONSE_NANOSECONDS = Duration.ofMillis(80).toNanos();
  private static final long LOAD_NANOSECONDS = Duration.ofMillis(250).toNanos();
  private static final long ORDER_NANOSECONDS = Duration.ofMillis(10).toNanos();
  private static final int ADAPTERS = 40;

  private final DispatchFixture host;
  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final Map<Long, Call> calls = new HashMap<>();
  private final Set<String> loaded = new HashSet<>();
  private final List<Call> all = new ArrayList<>();
  private long now;
  private long sequence;

  FakeCallers(DispatchFixture host) {
    this.host = host;
  }

  /**
   * What happened to the callers.
   *
   * @param served those that were answered before their deadline
   * @param refusedAtOnce those that were last refused within 50 ms of that attempt
   * @param refusedLate the other refused ones
   */
  record Outcome(int callers, int served, int refusedAtOnce, int refusedLate) {}

  /** Schedules an event for the host. */
  void at(Duration time, DispatchEvent event) {
    schedule(time.toNanos(), () -> execute(host.apply(event)));
  }

  /** Runs callers that arrive at a rate during a period, until all have an outcome. */
  Outcome run(Duration from, Duration until, int callersPerSecond) {
    long interval = Duration.ofSeconds(1).toNanos() / callersPerSecond;
    for (long time = from.toNanos(); time < until.toNanos(); time += interval) {
      Call call = new Call(time, all.size() % ADAPTERS);
      all.add(call);
      schedule(time, () -> send(call));
    }
    while (!queue.isEmpty()) {
      Scheduled next = queue.poll();
      host.advance(Duration.ofNanos(next.at - now));
      now = next.at;
      next.action.run();
    }
    return outcome(from, until);
  }

  /** Returns the outcome of the callers that arrived during a period. */
  Outcome outcome(Duration from, Duration until) {
    int callers = 0;
    int served = 0;
    int atOnce = 0;
    int late = 0;
    for (Call call : all) {
      if (call.arrivedAt < from.toNanos() || call.arrivedAt >= until.toNanos()) {
        continue;
      }
      callers++;
      if (call.served) {
        served++;
      } else if (call.refusedAfter < Duration.ofMillis(50).toNanos()) {
        atOnce++;
      } else {
        late++;
      }
    }
    return new Outcome(callers, served, atOnce, late);
  }

  private void send(Call call) {
    call.sentAt = now;
    AdapterKey adapter = new AdapterKey("base", "wave-" + call.adapter);
    List<DispatchEffect> effects =
        host.receive(
            "/chat/x",
            DispatchFixture.work(adapter),
            Duration.ofNanos(call.arrivedAt + DEADLINE.toNanos() - now),
            key -> calls.put(key, call));
    execute(effects);
  }

  private void execute(List<DispatchEffect> effects) {
    for (DispatchEffect effect : effects) {
      if (effect instanceof DispatchEffect.WakeAfter wake) {
        schedule(
            now + Math.max(0, wake.delay().toNanos()),
            () ->
                execute(host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber()))));
      } else if (effect instanceof DispatchEffect.RequestLoad load) {
        schedule(now + ORDER_NANOSECONDS, () -> order(load));
      } else if (effect instanceof DispatchEffect.Send send) {
        schedule(now + RESPONSE_NANOSECONDS, () -> answer(send));
      } else if (effect instanceof DispatchEffect.Refuse refuse) {
        refused(calls.get(refuse.request().key()), refuse.refusal().retryAfter());
      }
    }
  }

  private void order(DispatchEffect.RequestLoad load) {
    boolean held = !loaded.add(load.instance() + load.adapter());
    execute(
        host.apply(
            new DispatchEvent.LoadOrdered(
                load.instance(),
                load.adapter(),
                held ? Duration.ZERO : Duration.ofNanos(LOAD_NANOSECONDS))));
  }

  private void answer(DispatchEffect.Send send) {
    Call call = calls.get(send.request().key());
    call.served = now <= call.arrivedAt + DEADLINE.toNanos();
    execute(
        host.apply(
            new DispatchEvent.AttemptEnded(
                send.request().key(),
                send.attempt(),
                new AttemptResult(
                    AttemptOutcome.COMPLETED, 200, true, false, Optional.empty(), "test"))));
  }

  private void refused(Call call, Optional<Duration> retryAfter) {
    call.refusedAfter = now - call.sentAt;
    long left = call.arrivedAt + DEADLINE.toNanos() - now;
    long delay = retryAfter.map(Duration::toNanos).orElse(Long.MAX_VALUE);
    if (!call.returned && delay <= left / 3) {
      call.returned = true;
      schedule(now + delay, () -> send(call));
    }
  }

  private void schedule(long at, Runnable action) {
    queue.add(new Scheduled(at, sequence++, action));
  }

  /** One caller. Confined to the thread of the callers. */
  private static final class Call {

    private final long arrivedAt;
    private final int adapter;
    private long sentAt;
    private long refusedAfter;
    private boolean returned;
    private boolean served;

    Call(long arrivedAt, int adapter) {
      this.arrivedAt = arrivedAt;
      this.adapter = adapter;
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
