package org.parsleyhead.core.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.scheduling.SchedulingPolicy;
import org.parsleyhead.core.scheduling.SchedulingSettings;

@DisplayName("A fleet of scheduling and ownership duties")
class EngineFleetTests {

  private static final SchedulingPolicy POLICY =
      SchedulingPolicy.adaptive(SchedulingSettings.defaults());

  @Test
  @DisplayName("serves skewed requests without faults")
  void servesWithoutFaults() {
    OwnershipSettings settings = OwnershipSettings.of(4, 8);
    FakeFleet fleet = new FakeFleet(1, settings, POLICY, 6);
    fleet.addEngines(6, 8, 16, false);
    fleet.addEngines(6, 8, 16, true);
    fleet.start();
    FakeWorkload workload = new FakeWorkload(fleet, 3000, 1.0, new double[] {8, 8, 8, 8, 8}, 1000);
    fleet.runUntil(20);
    workload.start();
    fleet.runUntil(140);
    FakeFleetLedger ledger = fleet.ledger();
    System.out.println(
        "submitted "
            + ledger.entries().size()
            + " completed "
            + ledger.count(entry -> entry.completed >= 0)
            + " refused "
            + ledger.count(entry -> entry.refused >= 0)
            + " p50 "
            + ledger.waitQuantile(0.5, entry -> true)
            + " p95 "
            + ledger.waitQuantile(0.95, entry -> true)
            + " resident p95 "
            + ledger.waitQuantile(0.95, entry -> entry.resident)
            + " transfers "
            + fleet.store().transfers()
            + " most "
            + fleet.store().mostInFlight()
            + " window "
            + fleet.store().mostStartsInTenSeconds()
            + " messages "
            + ledger.messages()
            + " missing "
            + fleet.engines().stream().mapToInt(FakeEngine::missing).sum()
            + " evictions "
            + fleet.engines().stream().mapToInt(FakeEngine::evictions).sum()
            + " batch "
            + fleet.engines().stream().mapToDouble(FakeEngine::meanBatch).average());
    fleet.engines().forEach(engine -> assertEquals(java.util.List.of(), engine.violations()));
    assertTrue(ledger.count(entry -> entry.completed >= 0) > 0);
  }
}
