package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * A steady load of plain requests and streams at one host, on a manual clock, before servers that
 * answer at once, never, or begin to answer and then never send anything again.
 *
 * <p>Confined to one thread.
 */
final class FakeSilentServers {

  private static final Duration RESPONSE_TIME = Duration.ofMillis(80);
  private static final List<String> PATHS = List.of("/read/x", "/book/x", "/chat/x", "/audit/x");

  private final DispatchFixture host;
  private final Random random;
  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private long sequence;

  FakeSilentServers(DispatchFixture host, long seed) {
    this.host = host;
    this.random = new Random(seed);
  }

  /** Schedules an event of the host itself. */
  void at(MonotonicTime time, DispatchEvent event) {
    schedule(time, () -> execute(host.apply(event)));
  }

  /** Schedules callers with drawn deadlines at an interval. */
  void load(MonotonicTime from, MonotonicTime until, Duration interval) {
    for (MonotonicTime time = from; time.isBefore(until); time = time.plus(interval)) {
      schedule(time, this::call);
    }
  }

  /** Runs until a time, inclusive. */
  void runUntil(MonotonicTime end) {
    while (!queue.isEmpty() && !end.isBefore(queue.peek().at)) {
      Scheduled next = queue.poll();
      host.advance(next.at.since(host.now()));
      next.action.run();
    }
    host.advance(end.since(host.now()));
  }

  /** Returns the calls so far, in the order of their receipt. */
  List<Call> calls() {
    return List.copyOf(calls.values());
  }

  private void call() {
    String path = PATHS.get(random.nextInt(PATHS.size()));
    boolean stream = path.equals("/chat/x") || path.equals("/audit/x");
    Duration timeout = Duration.ofMillis(100 + random.nextInt(8_000));
    execute(
        host.receive(
            path,
            stream ? DispatchFixture.work(DispatchFixture.ADAPTER) : Optional.empty(),
            timeout,
            key -> calls.put(key, new Call(stream, host.now(), timeout))));
  }

  private void execute(List<DispatchEffect> effects) {
    for (DispatchEffect effect : effects) {
      if (effect instanceof DispatchEffect.WakeAfter wake) {
        schedule(
            host.now().plus(wake.delay().isNegative() ? Duration.ZERO : wake.delay()),
            () ->
                execute(host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber()))));
      } else if (effect instanceof DispatchEffect.RequestLoad load) {
        execute(
            host.apply(
                new DispatchEvent.LoadRefused(load.instance(), load.adapter(), "ring_full")));
      } else if (effect instanceof DispatchEffect.Send send) {
        send(send);
      } else if (effect instanceof DispatchEffect.WithdrawAttempt withdraw) {
        end(withdraw.request().key(), withdraw.attempt(), AttemptOutcome.WITHDRAWN);
      } else if (effect instanceof DispatchEffect.Refuse refuse) {
        Call call = calls.get(refuse.request().key());
        call.ended = true;
        call.refusal = Optional.of(refuse.refusal());
      } else if (effect instanceof DispatchEffect.Abort abort) {
        calls.get(abort.request().key()).ended = true;
      } else if (effect instanceof DispatchEffect.Finished finished) {
        calls.get(finished.request().key()).ended = true;
      }
    }
  }

  private void send(DispatchEffect.Send send) {
    long key = send.request().key();
    calls.get(key).sends++;
    MonotonicTime responseAt = host.now().plus(RESPONSE_TIME);
    switch (random.nextInt(3)) {
      case 0 -> {}
      case 1 ->
          schedule(
              responseAt,
              () -> execute(host.apply(new DispatchEvent.ResponseStarted(key, send.attempt()))));
      default -> schedule(responseAt, () -> end(key, send.attempt(), AttemptOutcome.COMPLETED));
    }
  }

  private void end(long key, int attempt, AttemptOutcome outcome) {
    execute(
        host.apply(
            new DispatchEvent.AttemptEnded(
                key,
                attempt,
                new AttemptResult(outcome, 200, true, false, Optional.empty(), "test"))));
  }

  private void schedule(MonotonicTime at, Runnable action) {
    queue.add(new Scheduled(at, sequence++, action));
  }

  /** A call and what became of it. Confined to the thread of the servers. */
  static final class Call {

    private final boolean stream;
    private final MonotonicTime receivedAt;
    private final Duration timeout;
    private Optional<DispatchRefusal> refusal = Optional.empty();
    private boolean ended;
    private int sends;

    Call(boolean stream, MonotonicTime receivedAt, Duration timeout) {
      this.stream = stream;
      this.receivedAt = receivedAt;
      this.timeout = timeout;
    }

    boolean stream() {
      return stream;
    }

    boolean ended() {
      return ended;
    }

    boolean receivedBefore(MonotonicTime time) {
      return receivedAt.isBefore(time);
    }

    /** Returns the latest time at which it ends at a route with a timeout. */
    MonotonicTime endsBy(Duration routeTimeout) {
      return receivedAt.plus(timeout.compareTo(routeTimeout) < 0 ? timeout : routeTimeout);
    }

    boolean refusedAsStopping() {
      return refusal.filter(found -> found.code() == DispatchRefusal.Code.STOPPING).isPresent();
    }

    @Override
    public String toString() {
      return "%s received at %s with %s, %d sends"
          .formatted(stream ? "stream" : "request", receivedAt, timeout, sends);
    }
  }

  private record Scheduled(MonotonicTime at, long sequence, Runnable action)
      implements Comparable<Scheduled> {

    @Override
    public int compareTo(Scheduled other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
