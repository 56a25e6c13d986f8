package org.parsleyhead.entry.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.KeyItem;
import org.parsleyhead.core.ticket.Ticket;

@DisplayName("Control planes of several hosts")
class ControlPlaneTests {

  private static final KeyItem KEY = new KeyItem("ab".repeat(32), new ClientAccountName("depot"));
  private static final Duration ATTESTATION_DURATION = Duration.ofSeconds(3);
  private static final int MAXIMUM_POLLS = 6_000;

  /** Polls a condition for up to a minute; the limit only ends a test that hangs. */
  private static void await(BooleanSupplier condition) throws InterruptedException {
    for (int poll = 0; poll < MAXIMUM_POLLS && !condition.getAsBoolean(); poll++) {
      Thread.sleep(10);
    }
    assertTrue(condition.getAsBoolean());
  }

  private static Ticket ticket(long number, Change change) {
    return new Ticket(new TicketNumber(number), List.of(change));
  }

  @Test
  @DisplayName("become ready, propagate revoked keys, and release their rights")
  void cooperate() throws Exception {
    try (FakePlatform platform = new FakePlatform();
        FakeFleet fleet = new FakeFleet(3, ATTESTATION_DURATION)) {
      platform.publish(ticket(1, Change.put(KEY)));
      platform.publish(fleet.hostList());
      for (int index = 0; index < 3; index++) {
        fleet.start(index, platform.uri());
      }
      for (FakeFleet.Host host : fleet.hosts()) {
        assertTrue(host.ready().await(60, TimeUnit.SECONDS));
        assertEquals(1, host.plane().configuration().mergedThrough());
      }
      platform.publish(ticket(2, Change.delete(KEY.key())));
      for (FakeFleet.Host host : fleet.hosts()) {
        await(() -> host.revoked().contains(KEY.digest()));
      }
      FakeFleet.Host first = fleet.hosts().get(0);
      await(
          () ->
              first.rightsSnapshot() != null && first.rightsSnapshot().attestedUntil().size() == 2);
      first.plane().requestStop();
      assertTrue(first.released().await(60, TimeUnit.SECONDS));
      assertTrue(first.rightsSnapshot().attestedUntil().isEmpty());
    }
  }

  @Test
  @DisplayName("make a host ready from its peers when the service has no tickets")
  void readyFromPeers() throws Exception {
    try (FakePlatform platform = new FakePlatform();
        FakePlatform withoutTickets = new FakePlatform();
        FakeFleet fleet = new FakeFleet(2, ATTESTATION_DURATION)) {
      platform.publish(ticket(1, Change.put(KEY)));
      platform.publish(fleet.hostList());
      withoutTickets.publish(fleet.hostList());
      fleet.start(0, platform.uri());
      FakeFleet.Host hostWithoutTickets = fleet.start(1, withoutTickets.uri());
      assertTrue(hostWithoutTickets.ready().await(60, TimeUnit.SECONDS));
      assertTrue(
          hostWithoutTickets
              .plane()
              .configuration()
              .catalogue()
              .keyByDigest(KEY.digest())
              .isPresent());
    }
  }
}
