package org.parsleyhead.runtime.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.ItemKey;
import org.parsleyhead.core.ticket.ItemKind;

@DisplayName("An audit trail")
class AuditTrailTests {

  private static final AuditTrail EMPTY = AuditTrail.empty(3);

  @Test
  @DisplayName("numbers each change and keeps its ticket and source")
  void numbersChanges() {
    AuditTrail trail = EMPTY.append(event(7, "a", "b"));
    assertEquals(
        List.of(
            new AuditEntry(1, new TicketNumber(7), change("a"), "host-2", Instant.EPOCH),
            new AuditEntry(2, new TicketNumber(7), change("b"), "host-2", Instant.EPOCH)),
        trail.since(0));
    assertEquals(0, EMPTY.lastSequence());
  }

  @Test
  @DisplayName("evicts the oldest entries when it is full, without gaps in the sequence numbers")
  void evictsOldest() {
    AuditTrail trail = EMPTY.append(event(1, "a", "b")).append(event(2, "c", "d", "e"));
    assertEquals(List.of(3L, 4L, 5L), sequences(trail, 0));
    assertEquals(3, trail.firstSequence());
    assertEquals(5, trail.lastSequence());
  }

  @Test
  @DisplayName("returns the entries that follow a sequence number")
  void since() {
    AuditTrail trail = EMPTY.append(event(1, "a", "b"));
    assertEquals(List.of(2L), sequences(trail, 1));
    assertTrue(trail.since(2).isEmpty());
    assertTrue(trail.since(Long.MAX_VALUE).isEmpty());
    assertEquals(List.of(1L, 2L), sequences(trail, -5));
  }

  @Test
  @DisplayName("is extended by its duty, with one effect for each new entry")
  void emitsEntries() {
    var step = AuditDuty.append(EMPTY, event(1, "a", "b"), MonotonicTime.ORIGIN);
    assertEquals(step.state().since(0), step.effects());
  }

  private static AuditEvent event(long ticket, String... names) {
    return new AuditEvent(
        new TicketNumber(ticket),
        "host-2",
        Instant.EPOCH,
        Stream.of(names).map(AuditTrailTests::change).toList());
  }

  private static AuditChange change(String name) {
    return new AuditChange(new ItemKey(ItemKind.ADAPTER, name), AuditChange.Action.CREATED);
  }

  private static List<Long> sequences(AuditTrail trail, long since) {
    return trail.since(since).stream().map(AuditEntry::sequence).toList();
  }
}
