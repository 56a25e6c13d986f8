package org.parsleyhead.core.overload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Function;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * A number of equal slots, each of which works on one request at a time, behind the queue of
 * waiting requests, on a simulated clock. Confined to one thread.
 *
 * <p>A caller that is refused returns once, after the Retry-After, if that is at most a third of
 * the time that it has left.
 */
final class FakeCapacity {

  private static final WaitLine LINE = new WaitLine(WaitLine.Capacity.ADAPTER_SLOT, "engine");
  private static final MonotonicTime START = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(1));

  private final boolean ordered;
  private final PriorityQueue<Scheduled> events = new PriorityQueue<>();
  private final Map<Long, Call> waiting = new HashMap<>();
  private final List<Call> calls = new ArrayList<>();
  private WaitingQueue queue;
  private int freeSlots;
  private MonotonicTime now = START;
  private long lastKey;
  private long sequence;

  /**
   * Creates free slots.
   *
   * @param order the order; empty for first come, first served, without refusals before the
   *     deadline and without shares of accounts
   */
  FakeCapacity(int slots, Optional<RankOrder> order) {
    this.freeSlots = slots;
    this.ordered = order.isPresent();
    this.queue = WaitingQueue.empty(order.orElse(rank -> rank.waited().negated()));
  }

  /** A kind of requests; the times are in milliseconds. */
  record Kind(String name, int priority, int target, int limit, int work) {}

  /** What happened to the requests. */
  record Outcome(int due, int served, int onTime) {

    double onTimeShare() {
      return due == 0 ? 1 : (double) onTime / due;
    }
  }

  /** Schedules a request. */
  void call(Duration at, Kind kind, String account, int limit) {
    Call call = new Call(kind, account, START.plus(at), Duration.ofMillis(limit));
    calls.add(call);
    schedule(call.arrivedAt, () -> receive(call));
  }

  /** Schedules a change of the number of slots; occupied ones are taken away when they are free. */
  void changeSlots(Duration at, int change) {
    schedule(
        START.plus(at),
        () -> {
          freeSlots += change;
          serve();
        });
  }

  /** Runs until every request has an outcome. */
  void run() {
    while (!events.isEmpty()) {
      Scheduled next = events.poll();
      now = next.at;
      next.action.run();
    }
  }

  Outcome total() {
    return outcomes(call -> "all").get("all");
  }

  Map<String, Outcome> byKind() {
    return outcomes(call -> call.kind.name());
  }

  Map<String, Outcome> byAccount() {
    return outcomes(call -> call.account);
  }

  private Map<String, Outcome> outcomes(Function<Call, String> group) {
    Map<String, Outcome> outcomes = new HashMap<>();
    for (Call call : calls) {
      Outcome former = outcomes.getOrDefault(group.apply(call), new Outcome(0, 0, 0));
      outcomes.put(
          group.apply(call),
          new Outcome(
              former.due + 1,
              former.served + (call.served ? 1 : 0),
              former.onTime + (call.onTime ? 1 : 0)));
    }
    return outcomes;
  }

  private void receive(Call call) {
    RequestRank rank = call.rank(now);
    if (freeSlots > 0 && queue.size() == 0) {
      start(call);
      return;
    }
    Duration certain = queue.certainWait(LINE, rank.priority());
    if (ordered && DeadlineEstimate.hopeless(rank, certain)) {
      refuse(call);
      return;
    }
    long key = ++lastKey;
    waiting.put(key, call);
    MonotonicTime deadline = call.arrivedAt.plus(call.limit);
    String account = ordered ? call.account : "";
    queue =
        queue.with(new QueuedRequest(key, LINE, account, rank, now, deadline, Duration.ZERO), now);
    schedule(deadline, () -> leave(key));
    if (queue.size() > WaitingQueue.MAXIMUM_REQUESTS) {
      long last = queue.last().orElseThrow().key();
      queue = queue.without(last);
      refuse(waiting.remove(last));
    }
  }

  private void leave(long key) {
    queue = queue.without(key);
    waiting.remove(key);
  }

  private void serve() {
    queue = queue.settled(LINE, now);
    while (freeSlots > 0 && queue.size() > 0) {
      long key = queue.first(LINE).orElseThrow().key();
      queue = queue.without(key).settled(LINE, now);
      Call call = waiting.remove(key);
      if (ordered && DeadlineEstimate.hopeless(call.rank(now), Duration.ZERO)) {
        refuse(call);
      } else {
        queue = queue.taken(LINE, now);
        start(call);
      }
    }
  }

  private void start(Call call) {
    freeSlots--;
    MonotonicTime end = now.plus(Duration.ofMillis(call.kind.work()));
    call.served = !call.arrivedAt.plus(call.limit).isBefore(end);
    call.onTime =
        call.served && !call.arrivedAt.plus(Duration.ofMillis(call.kind.target())).isBefore(end);
    schedule(
        end,
        () -> {
          freeSlots++;
          serve();
        });
  }

  private void refuse(Call call) {
    Duration expected = queue.expectedWait(LINE, call.kind.priority());
    Duration delay =
        new SpreadRetryAfter().retryAfter(expected, call.arrivedAt.nanoseconds() / 1_000);
    Duration third = call.rank(now).untilDeadline().dividedBy(3);
    if (!call.returned && delay.compareTo(third) <= 0) {
      call.returned = true;
      schedule(now.plus(delay), () -> receive(call));
    }
  }

  private void schedule(MonotonicTime at, Runnable action) {
    events.add(new Scheduled(at, sequence++, action));
  }

  /** One caller. Confined to the thread of the slots. */
  private static final class Call {

    private final Kind kind;
    private final String account;
    private final MonotonicTime arrivedAt;
    private final Duration limit;
    private boolean returned;
    private boolean served;
    private boolean onTime;

    Call(Kind kind, String account, MonotonicTime arrivedAt, Duration limit) {
      this.kind = kind;
      this.account = account;
      this.arrivedAt = arrivedAt;
      this.limit = limit;
    }

    RequestRank rank(MonotonicTime time) {
      return new RequestRank(
          kind.priority(),
          time.since(arrivedAt),
          Duration.ofMillis(kind.target()),
          limit,
          Duration.ofMillis(kind.work()));
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
