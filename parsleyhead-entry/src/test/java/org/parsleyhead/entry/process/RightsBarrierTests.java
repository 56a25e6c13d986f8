package org.parsleyhead.entry.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.membership.RightsSnapshot;

@DisplayName("The barrier over the users of exclusive rights")
class RightsBarrierTests {

  private static final HostName OTHER = new HostName("entry-2");

  private final AtomicReference<RightsSnapshot> inUse = new AtomicReference<>(rightsSnapshot(0));
  private final AtomicInteger applied = new AtomicInteger();
  private final RightsBarrier barrier = new RightsBarrier(List.of(inUse::get));

  /**
   * Returns a rights snapshot with a fixed list version and an attestation that ends at an instant.
   */
  private static RightsSnapshot rightsSnapshot(long attestedUntil) {
    return new RightsSnapshot(
        new HostName("entry-1"),
        new Incarnation(1),
        7,
        new TreeSet<>(List.of(new HostName("entry-1"), OTHER)),
        Map.of(OTHER, new MonotonicTime(attestedUntil)),
        Map.of(OTHER, 7L),
        Map.of());
  }

  @Test
  @DisplayName("waits for every user, even if the version of the host list has not changed")
  void waitsForUsers() {
    RightsSnapshot former = rightsSnapshot(1);
    barrier.issue(former, applied::incrementAndGet);
    inUse.set(former);
    RightsSnapshot next = rightsSnapshot(2);
    long number = barrier.issue(next, applied::incrementAndGet);
    barrier.appliedByQuota(number);
    assertEquals(0, applied.get());
    inUse.set(next);
    barrier.appliedByQuota(number);
    assertEquals(1, applied.get());
  }

  @Test
  @DisplayName("counts a user of a later snapshot as having reached an earlier one")
  void acceptsLaterSnapshots() {
    long number = barrier.issue(rightsSnapshot(1), applied::incrementAndGet);
    RightsSnapshot later = rightsSnapshot(2);
    barrier.issue(later, () -> {});
    inUse.set(later);
    barrier.appliedByQuota(number);
    assertEquals(1, applied.get());
  }

  @Test
  @DisplayName("ignores snapshots that were never issued")
  void ignoresUnknown() {
    barrier.appliedByQuota(99);
    assertEquals(0, applied.get());
  }
}
