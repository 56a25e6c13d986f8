package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.instance.Instance;

/** What the decisions of the fleet ask for. Implementations are immutable and thread-safe. */
public sealed interface FleetEffect {

  /** Send a message to another host, at most once. */
  record SendMessage(String endpoint, PeerMessage message) implements FleetEffect {}

  /**
   * Send an order to a server, unless the instant has passed by the time of the write.
   *
   * @param instance the server
   * @param orderNumber the number of the order on this host
   * @param kind what to do
   * @param adapter the adapter
   * @param version the version to load; 0 for the newest that the store has
   * @param expectedOrders the orders that the server has accepted, as far as known
   * @param fence the fencing number of the lease
   * @param writeBefore when the right to give the order ends
   */
  record SendOrder(
      Instance instance,
      long orderNumber,
      OrderKind kind,
      AdapterKey adapter,
      long version,
      long expectedOrders,
      long fence,
      MonotonicTime writeBefore)
      implements FleetEffect {}

  /** Ask a server for its state. */
  record AskReport(Instance instance) implements FleetEffect {}

  /** A load that a request of this host waits for was ordered, or the adapter is there. */
  record LoadOrdered(String instance, AdapterKey adapter, Duration readyIn)
      implements FleetEffect {}

  /** A load that a request of this host waits for is not possible now. */
  record LoadRefused(String instance, AdapterKey adapter, String reason) implements FleetEffect {}

  /** An owner told which adapters an instance holds. */
  record AdaptersKnown(AdapterReport report) implements FleetEffect {}

  /**
   * Another host reported.
   *
   * @param host the host
   * @param incarnation the run that reported
   * @param heartbeat what it reported
   * @param counted whether its usage and work count; a host counts either the reports of all others
   *     or the sums of one hub
   */
  record PeerFigures(String host, long incarnation, Heartbeat heartbeat, boolean counted)
      implements FleetEffect {}

  /**
   * Which instances some live host gives orders to.
   *
   * @param instances these instances
   * @param othersIn when orders to the others are possible at the earliest
   */
  record OwnersKnown(Set<String> instances, Duration othersIn) implements FleetEffect {}

  /** The live hosts have changed. */
  record HostsChanged(List<String> live, int known) implements FleetEffect {}

  /** Whether this host reads the platform itself; in a large fleet only hubs do. */
  record ReaderRole(boolean reader) implements FleetEffect {}

  /** A change of what this host believes, for the log. */
  record Note(String event, String subject, Optional<String> detail) implements FleetEffect {}

  /** The kinds of orders. Immutable and thread-safe. */
  enum OrderKind {
    /** Load an adapter. */
    LOAD,
    /** Drop an adapter. */
    UNLOAD
  }
}
