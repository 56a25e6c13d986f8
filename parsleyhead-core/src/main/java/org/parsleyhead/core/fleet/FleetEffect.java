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

/** The effects of {@link FleetTransition}. Implementations are immutable and thread-safe. */
public sealed interface FleetEffect {

  /** Sends a message to another host, at most once. */
  record SendMessage(String endpoint, PeerMessage message) implements FleetEffect {}

  /**
   * Sends an order to a server, unless the deadline has passed when it is written.
   *
   * @param instance the instance that receives the order
   * @param orderNumber the number of the order, unique on this host
   * @param kind the kind of the order
   * @param adapter the adapter to load or unload
   * @param version the version to load; 0 for the newest in the store
   * @param expectedOrders the known number of orders that the server has accepted
   * @param fence the fencing number of the lease
   * @param writeBefore the expiry of the lease
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

  /** Requests a report of its state from a server. */
  record RequestReport(Instance instance) implements FleetEffect {}

  /**
   * Reports that a load that requests of this host wait for was ordered, or that the adapter is
   * already loaded.
   *
   * @param instance the identifier of the instance
   * @param adapter the adapter
   * @param readyIn the expected time until the adapter is loaded
   * @param loadingFor the time since the load was ordered
   */
  record LoadOrdered(String instance, AdapterKey adapter, Duration readyIn, Duration loadingFor)
      implements FleetEffect {}

  /** Reports that a load that requests of this host wait for was refused. */
  record LoadRefused(String instance, AdapterKey adapter, String reason) implements FleetEffect {}

  /** Reports the adapters that an instance holds, as stated by its owner. */
  record AdaptersReported(AdapterReport report) implements FleetEffect {}

  /**
   * Reports the statistics that another host sent in a heartbeat.
   *
   * @param host the reporting host
   * @param incarnation the incarnation that reported
   * @param heartbeat the heartbeat with the statistics
   * @param counted whether admitted units and loads are counted; a host counts either the reports
   *     of all others or the totals of one hub
   */
  record PeerStatistics(String host, long incarnation, Heartbeat heartbeat, boolean counted)
      implements FleetEffect {}

  /**
   * Reports the instances whose lease some live host holds.
   *
   * @param instances the identifiers of these instances
   * @param takeoverDelay the minimum time until another instance can get an owner
   */
  record OwnersKnown(Set<String> instances, Duration takeoverDelay) implements FleetEffect {}

  /**
   * Reports that the live or known hosts have changed; the live hosts and the number of known hosts
   * include this one.
   */
  record HostsChanged(List<String> live, int known) implements FleetEffect {}

  /** Sets whether this host reads from the platform itself; in a large fleet only hubs do. */
  record ReaderRole(boolean reader) implements FleetEffect {}

  /** Logs a change of this host's view of the fleet. */
  record LogEvent(String event, String subject, Optional<String> detail) implements FleetEffect {}

  /** The kinds of orders. Immutable and thread-safe. */
  enum OrderKind {
    /** Loads an adapter, or a base model. */
    LOAD,
    /** Unloads an adapter. */
    UNLOAD
  }
}
