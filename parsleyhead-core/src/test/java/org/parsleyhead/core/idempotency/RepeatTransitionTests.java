package org.parsleyhead.core.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.HostName;

@DisplayName("Duplicate detection")
class RepeatTransitionTests {

  private static final int SCHEDULES = 60;
  private static final int STEPS = 60;

  @Nested
  @DisplayName("in a cell of six hosts")
  class InCell {

    private final FakeRepeatFleet fleet = new FakeRepeatFleet(1, 6);

    @Test
    @DisplayName("admits the first request and recognizes its repetition on another host")
    void recognizesRepetition() {
      fleet.check(fleet.hosts().get(0), "booking");
      fleet.advance(Duration.ofSeconds(3));
      fleet.check(fleet.hosts().get(3), "booking");
      fleet.advance(Duration.ofSeconds(3));
      assertEquals(1, fleet.firstResults());
      assertEquals(1, fleet.maximumRunsPerKey());
    }

    @Test
    @DisplayName("recognizes a repetition after two hosts have been restarted")
    void survivesRestarts() {
      fleet.check(fleet.hosts().get(0), "booking");
      fleet.advance(Duration.ofSeconds(3));
      fleet.restart(fleet.hosts().get(0));
      fleet.restart(fleet.hosts().get(1));
      fleet.check(fleet.hosts().get(1), "booking");
      fleet.advance(Duration.ofSeconds(3));
      assertEquals(1, fleet.firstResults());
    }

    @Test
    @DisplayName("admits other requests after two hosts have been restarted")
    void staysAvailable() {
      fleet.restart(fleet.hosts().get(0));
      fleet.restart(fleet.hosts().get(1));
      fleet.check(fleet.hosts().get(0), "another booking");
      fleet.advance(Duration.ofSeconds(3));
      assertEquals(1, fleet.firstResults());
    }

    @Test
    @DisplayName("admits no request after a restart of all hosts until the uncertainty ends")
    void waitsAfterRestartOfAll() {
      fleet.check(fleet.hosts().get(0), "booking");
      fleet.advance(Duration.ofSeconds(3));
      fleet.hosts().forEach(fleet::restart);
      fleet.check(fleet.hosts().get(0), "booking");
      fleet.advance(Duration.ofSeconds(3));
      assertEquals(1, fleet.firstResults());
      fleet.advance(FakeRepeatFleet.SETTINGS.uncertaintyDuration());
      fleet.check(fleet.hosts().get(0), "a later booking");
      fleet.advance(Duration.ofSeconds(3));
      assertEquals(2, fleet.firstResults());
    }
  }

  @Nested
  @DisplayName("when three of six hosts are removed from the host list at once")
  class WhenListShrinks {

    private final FakeRepeatFleet fleet = new FakeRepeatFleet(1, 6);
    private final List<HostName> hosts = fleet.hosts();

    @Test
    @DisplayName("lets no minority that received the new list decide alone")
    void minorityCannotDecide() {
      fleet.publish(new TreeSet<>(hosts.subList(3, 6)));
      fleet.deliverList(hosts.get(4));
      fleet.deliverList(hosts.get(5));
      fleet.partition(Set.copyOf(hosts.subList(4, 6)));
      fleet.advance(FakeRepeatFleet.SETTINGS.uncertaintyDuration().plusSeconds(1));
      fleet.check(hosts.get(4), "booking");
      fleet.advance(Duration.ofSeconds(3));
      fleet.check(hosts.get(0), "booking");
      fleet.advance(Duration.ofSeconds(3));
      assertEquals(1, fleet.firstResults());
    }

    @Test
    @DisplayName("ignores votes of hosts that may not have received earlier claims")
    void uninformedHostsCannotDecide() {
      fleet.partition(Set.copyOf(hosts.subList(4, 6)));
      fleet.check(hosts.get(0), "booking");
      fleet.advance(Duration.ofSeconds(3));
      fleet.publish(new TreeSet<>(hosts.subList(3, 6)));
      hosts.subList(3, 6).forEach(fleet::deliverList);
      fleet.check(hosts.get(4), "booking");
      fleet.advance(Duration.ofSeconds(3));
      assertEquals(1, fleet.firstResults());
    }
  }

  @Test
  @DisplayName("never admits two requests with the same repeat key under random faults")
  void holdsUnderRandomSchedules() {
    int firsts = 0;
    for (int seed = 1; seed <= SCHEDULES; seed++) {
      FakeRepeatFleet fleet = new FakeRepeatFleet(seed, 6);
      runSchedule(fleet, new Random(seed));
      assertEquals(1, Math.max(1, fleet.maximumRunsPerKey()), "seed " + seed);
      firsts += fleet.firstResults();
    }
    assertTrue(firsts > SCHEDULES, "the schedules must admit requests");
  }

  private static void runSchedule(FakeRepeatFleet fleet, Random random) {
    fleet.loseMessages(random.nextInt(4) * 0.1);
    for (int step = 0; step < STEPS; step++) {
      List<HostName> hosts = fleet.hosts();
      HostName host = hosts.get(random.nextInt(hosts.size()));
      switch (random.nextInt(12)) {
        case 0 -> fleet.restart(host);
        case 1 -> fleet.publish(changed(fleet.lastList(), random, step));
        case 2, 3 -> fleet.deliverList(host);
        case 4 -> fleet.advance(Duration.ofSeconds(random.nextInt(10)));
        default -> fleet.check(host, "key-" + random.nextInt(5));
      }
      fleet.advance(Duration.ofMillis(random.nextInt(1_000)));
    }
    fleet.advance(Duration.ofSeconds(5));
  }

  private static SortedSet<HostName> changed(SortedSet<HostName> members, Random random, int step) {
    SortedSet<HostName> next = new TreeSet<>(members);
    for (int removal = random.nextInt(3); removal > 0 && next.size() > 3; removal--) {
      next.remove(List.copyOf(next).get(random.nextInt(next.size())));
    }
    if (next.size() < 6 && random.nextBoolean()) {
      next.add(new HostName("host-new-" + step));
    }
    return next;
  }
}
