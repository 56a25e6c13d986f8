package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.instance.Instance;

@DisplayName("Replayed loads")
class LoadReplayTests {

  private static final int CALLERS_PER_SECOND = 100;

  /** The shortest time in which a request can be answered once loads are possible. */
  private static final Duration SERVICE_TIME = Duration.ofSeconds(1);

  private static Duration milliseconds(long value) {
    return Duration.ofMillis(value);
  }

  @Test
  @DisplayName("restart of all hosts: callers that arrive before the catalogue are all served")
  void restartOfAllHosts() {
    FakeCallers callers = new FakeCallers(new DispatchFixture());
    Instance first = DispatchFixture.engine("e1");
    Instance second = DispatchFixture.engine("e2");
    callers.at(
        milliseconds(150),
        new DispatchEvent.CatalogueChanged(DispatchFixture.catalogue(1, 1_000_000)));
    callers.at(milliseconds(160), new DispatchEvent.InstancesAnnounced(List.of(first, second)));
    callers.at(
        milliseconds(170),
        new DispatchEvent.InstanceOwnersChanged(Set.of("e1", "e2"), Duration.ZERO));
    FakeCallers.Outcome outcome = callers.run(Duration.ZERO, milliseconds(500), CALLERS_PER_SECOND);
    System.out.println("restart of all hosts: " + outcome);
    assertEquals(outcome.callers(), outcome.served());
  }

  @Test
  @DisplayName("loss of all owners: callers wait if they can be served, others are refused at once")
  void lossOfAllOwners() {
    DispatchFixture host = DispatchFixture.running();
    host.apply(new DispatchEvent.CatalogueChanged(DispatchFixture.catalogue(2, 1_000_000)));
    Duration takeover = Duration.ofMillis(4_800);
    host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of(), takeover));
    FakeCallers callers = new FakeCallers(host);
    callers.at(
        takeover.plusMillis(300),
        new DispatchEvent.InstanceOwnersChanged(Set.of("e1", "e2"), Duration.ZERO));
    FakeCallers.Outcome total = callers.run(Duration.ZERO, milliseconds(6_000), CALLERS_PER_SECOND);
    System.out.println("loss of all owners: " + total);
    assertEquals(0, total.refusedLate());
    Duration hopeless = takeover.minus(FakeCallers.DEADLINE).plus(SERVICE_TIME.multipliedBy(2));
    FakeCallers.Outcome afterwards = callers.outcome(hopeless.plusMillis(600), milliseconds(6_000));
    assertEquals(afterwards.callers(), afterwards.served());
  }
}
