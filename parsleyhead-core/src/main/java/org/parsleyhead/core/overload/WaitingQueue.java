package org.parsleyhead.core.overload;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * The requests of one host that wait for capacity, each in the line for it, in the order of their
 * turns.
 *
 * <p>Answers more requests than there is capacity for. Immutable and thread-safe. Every operation
 * takes logarithmic time: a turn is a fixed instant that is replaced at most once, when the request
 * is first in its line and can no longer meet its latency target. A client account with more than
 * twice an equal share of the waiting requests gets later turns for the excess, as if the accounts
 * were served in rounds.
 */
public final class WaitingQueue {

  /** Maximum number of waiting requests; as many as wait for a catalogue. */
  public static final int MAXIMUM_REQUESTS = 1_024;

  /** A request is refused only if it is too late even with half of the expected wait. */
  private static final double CERTAIN_FRACTION = 0.5;

  /** Share of the time to the deadline after which a request has its turn at the latest. */
  private static final double LATEST_TURN_SHARE = 0.8;

  /** Multiple of the equal share that an account may use, since equal accounts vary by chance. */
  private static final double SHARE_TOLERANCE = 2;

  private final RankOrder order;
  private final PMap<Long, Queued> requests;
  private final PMap<WaitLine, WaitingLine> lines;
  private final PMap<String, Integer> accounts;
  private final TreePMap<WaitingLine.Place, Long> all;

  private WaitingQueue(
      RankOrder order,
      PMap<Long, Queued> requests,
      PMap<WaitLine, WaitingLine> lines,
      PMap<String, Integer> accounts,
      TreePMap<WaitingLine.Place, Long> all) {
    this.order = order;
    this.requests = requests;
    this.lines = lines;
    this.accounts = accounts;
    this.all = all;
  }

  /** Returns the empty queue with an order. */
  public static WaitingQueue empty(RankOrder order) {
    return new WaitingQueue(
        order, HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), TreePMap.empty());
  }

  private record Queued(QueuedRequest request, WaitingLine.Place place) {}

  /** Returns this queue with a request, which must not be in it. */
  public WaitingQueue with(QueuedRequest request, MonotonicTime time) {
    RequestRank rank = request.rankAt(time);
    MonotonicTime turn = time.plus(delayed(order.turn(rank), rank, excess(request)));
    return with(request, new WaitingLine.Place(turn, request.key(), !rank.meetsTarget()), time);
  }

  private WaitingQueue with(QueuedRequest request, WaitingLine.Place place, MonotonicTime time) {
    WaitingLine line = lines.getOrDefault(request.line(), WaitingLine.EMPTY);
    return new WaitingQueue(
        order,
        requests.plus(request.key(), new Queued(request, place)),
        lines.plus(request.line(), line.with(place, request.rank().priority(), time)),
        accounts.plus(request.account(), accounts.getOrDefault(request.account(), 0) + 1),
        all.plus(place, request.key()));
  }

  /**
   * Returns a turn after a delay. A delay moves no turn beyond the share of the time to the
   * deadline that leaves time for the response, so that no account starves.
   */
  private static Duration delayed(Duration turn, RequestRank rank, Duration delay) {
    Duration latest =
        Duration.ofNanos((long) (rank.limit().toNanos() * LATEST_TURN_SHARE))
            .minus(rank.work())
            .minus(rank.waited());
    Duration delayed = turn.plus(delay);
    Duration bounded = delayed.compareTo(latest) < 0 ? delayed : latest;
    return bounded.compareTo(turn) > 0 ? bounded : turn;
  }

  /** Returns the delay of the turn of a request whose account has too large a share. */
  private Duration excess(QueuedRequest request) {
    int own = accounts.getOrDefault(request.account(), 0);
    double share = accounts.isEmpty() ? 0 : SHARE_TOLERANCE * requests.size() / accounts.size();
    if (own <= share) {
      return Duration.ZERO;
    }
    Duration interval = lines.getOrDefault(request.line(), WaitingLine.EMPTY).interval();
    return Duration.ofNanos((long) (interval.toNanos() * (own - share) * accounts.size()));
  }

  /** Returns this queue without a request. */
  public WaitingQueue without(long key) {
    Queued queued = requests.get(key);
    if (queued == null) {
      return this;
    }
    QueuedRequest request = queued.request();
    int left = accounts.get(request.account()) - 1;
    return new WaitingQueue(
        order,
        requests.minus(key),
        lines.plus(
            request.line(),
            lines.get(request.line()).without(queued.place(), request.rank().priority())),
        left == 0 ? accounts.minus(request.account()) : accounts.plus(request.account(), left),
        all.minus(queued.place()));
  }

  /**
   * Returns this queue with the request that is next at the front of a line: requests there that
   * can no longer meet their latency target get their later turns.
   */
  public WaitingQueue settled(WaitLine line, MonotonicTime time) {
    WaitingQueue next = this;
    Optional<QueuedRequest> first = next.first(line);
    while (first.isPresent()) {
      Queued queued = next.requests.get(first.get().key());
      if (queued.place().late() || first.get().rankAt(time).meetsTarget()) {
        return next;
      }
      next = next.without(first.get().key()).with(first.get(), time);
      first = next.first(line);
    }
    return next;
  }

  /** Returns the request at the front of a line. */
  public Optional<QueuedRequest> first(WaitLine line) {
    WaitingLine waiting = lines.get(line);
    return waiting == null || waiting.order().isEmpty()
        ? Optional.empty()
        : find(waiting.order().firstEntry().getValue());
  }

  /** Returns the request with the latest turn of all lines, whose refusal costs least. */
  public Optional<QueuedRequest> last() {
    return all.isEmpty() ? Optional.empty() : find(all.lastEntry().getValue());
  }

  /** Returns a request that waits. */
  public Optional<QueuedRequest> find(long key) {
    return Optional.ofNullable(requests.get(key)).map(Queued::request);
  }

  /** Returns this queue after a request of a line got the capacity that it waited for. */
  public WaitingQueue taken(WaitLine line, MonotonicTime time) {
    WaitingLine next = lines.getOrDefault(line, WaitingLine.EMPTY).taken(time);
    return new WaitingQueue(order, requests, lines.plus(line, next), accounts, all);
  }

  /** Returns the expected wait of a further request with a priority. */
  public Duration expectedWait(WaitLine line, int priority) {
    WaitingLine waiting = lines.getOrDefault(line, WaitingLine.EMPTY);
    return waiting.interval().multipliedBy(waiting.ahead(priority) + 1L);
  }

  /**
   * Returns the part of the expected wait of a further request that is certain enough to refuse it;
   * none before the rate of the line is known.
   */
  public Duration certainWait(WaitLine line, int priority) {
    return lines.getOrDefault(line, WaitingLine.EMPTY).measured()
        ? Duration.ofNanos((long) (expectedWait(line, priority).toNanos() * CERTAIN_FRACTION))
        : Duration.ZERO;
  }

  /**
   * Returns the times since the receipt of the waiting requests whose priorities match, for the
   * metrics; takes linear time.
   */
  public List<Duration> ages(IntPredicate priorities, MonotonicTime time) {
    return requests.values().stream()
        .map(queued -> queued.request().rankAt(time))
        .filter(rank -> priorities.test(rank.priority()))
        .map(RequestRank::waited)
        .toList();
  }

  /** Returns all lines that have ever been used. */
  public Set<WaitLine> lines() {
    return lines.keySet();
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return requests.size();
  }
}
