package org.parsleyhead.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;

@DisplayName("The queue of waiting requests")
class WaitingQueueTests {

  private static final WaitLine LINE = new WaitLine(WaitLine.Capacity.RETRY, "engine");
  private static final MonotonicTime START = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(100));

  private WaitingQueue queue = WaitingQueue.empty(new TargetShareOrder());
  private long lastKey;

  private long add(String account, int priority, MonotonicTime time) {
    RequestRank rank =
        new RequestRank(
            priority,
            Duration.ZERO,
            Duration.ofSeconds(1),
            Duration.ofSeconds(5),
            Duration.ofMillis(100));
    QueuedRequest request =
        new QueuedRequest(
            ++lastKey, LINE, account, rank, time, time.plus(Duration.ofSeconds(5)), Duration.ZERO);
    queue = queue.with(request, time);
    return lastKey;
  }

  private List<Long> drain(MonotonicTime time) {
    List<Long> keys = new ArrayList<>();
    queue = queue.settled(LINE, time);
    for (Optional<QueuedRequest> first = queue.first(LINE);
        first.isPresent();
        first = queue.first(LINE)) {
      keys.add(first.get().key());
      queue = queue.without(first.get().key()).settled(LINE, time);
    }
    return keys;
  }

  @Test
  @DisplayName("is ordered by rank, and by arrival among equal ranks")
  void ordersByRank() {
    long first = add("a", 1, START);
    long second = add("b", 1, START);
    long urgent = add("c", 0, START);
    assertEquals(Optional.of(second), queue.last().map(QueuedRequest::key));
    assertEquals(List.of(urgent, first, second), drain(START));
    assertEquals(0, queue.size());
  }

  @Test
  @DisplayName("puts a request that has become late behind those that can be on time")
  void defersLate() {
    long late = add("a", 0, START);
    MonotonicTime later = START.plus(Duration.ofMillis(950));
    long timely = add("b", 2, later);
    assertEquals(List.of(timely, late), drain(later));
  }

  @Test
  @DisplayName("does not let an account with six times the requests displace the others")
  void sharesBetweenAccounts() {
    MonotonicTime time = START;
    List<Long> others = new ArrayList<>();
    for (int round = 0; round < 10; round++) {
      for (int request = 0; request < 6; request++) {
        add("hot", 1, time);
      }
      others.add(add("b", 1, time));
      others.add(add("c", 1, time));
      time = time.plus(Duration.ofMillis(1));
    }
    List<Long> served = drain(time).subList(0, 40);
    assertTrue(served.containsAll(others), served::toString);
  }

  @Test
  @DisplayName("expects longer waits for less urgent requests, by the observed rate")
  void expectsWaits() {
    for (int request = 0; request < 10; request++) {
      add("a", request % 2, START);
    }
    MonotonicTime time = START;
    for (int taken = 0; taken < 50; taken++) {
      time = time.plus(Duration.ofMillis(20));
      queue = queue.taken(LINE, time);
    }
    assertEquals(120, queue.expectedWait(LINE, 0).toMillis(), 5);
    assertEquals(220, queue.expectedWait(LINE, 1).toMillis(), 5);
  }
}
