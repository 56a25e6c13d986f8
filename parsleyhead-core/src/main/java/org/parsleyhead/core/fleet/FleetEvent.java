package org.parsleyhead.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.parsleyhead.core.dispatch.InstanceLoad;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.overload.RequestRank;
import org.parsleyhead.core.quarantine.Audience;
import org.parsleyhead.core.quarantine.TraitReport;
import org.parsleyhead.core.serving.ServiceCatalogue;

/** The events of {@link FleetTransition}. Implementations are immutable and thread-safe. */
public sealed interface FleetEvent {

  /** A heartbeat of another host was received. */
  record HeartbeatReceived(String host, long incarnation, Heartbeat heartbeat)
      implements FleetEvent {}

  /** The answer to a heartbeat was received. */
  record HeartbeatAnswered(String host, long incarnation, HeartbeatAnswer answer)
      implements FleetEvent {}

  /** Another host requested a load from this host as the owner. */
  record LoadRequested(LoadRequest request) implements FleetEvent {}

  /** A request of this host needs an adapter to be loaded. */
  record LoadNeeded(String instance, AdapterKey adapter, RequestRank rank) implements FleetEvent {}

  /** The owner of an instance answered a load request of this host. */
  record LoadAnswered(LoadAnswer answer) implements FleetEvent {}

  /** A server answered an order with an HTTP status; 0 if there was no answer. */
  record OrderAnswered(String instance, long orderNumber, int status) implements FleetEvent {}

  /**
   * A server reported its state.
   *
   * @param report the loaded models and adapters
   * @param loading the adapters that are being loaded
   * @param busy whether an order for a base model is in progress
   */
  record ReportRead(AdapterReport report, Set<AdapterKey> loading, boolean busy)
      implements FleetEvent {}

  /** A server did not report its state. */
  record ReportFailed(String instance, String reason) implements FleetEvent {}

  /** New announcements of instances were read. */
  record InstancesAnnounced(List<Instance> instances) implements FleetEvent {}

  /** The announcement of an instance was removed. */
  record InstanceRemoved(String identifier) implements FleetEvent {}

  /** A catalogue was published; it takes effect if it is newer. */
  record CatalogueChanged(ServiceCatalogue catalogue) implements FleetEvent {}

  /** The operators declared a version of an adapter. */
  record VersionDeclared(AdapterKey adapter, long version) implements FleetEvent {}

  /**
   * This host has evidence about requests that may end their servers.
   *
   * @param reports the evidence
   * @param audience the hosts that it is meant for
   */
  record QuarantineChanged(List<TraitReport> reports, Audience audience) implements FleetEvent {}

  /** This process is about to stop. */
  record Leaving() implements FleetEvent {}

  /**
   * Time has passed.
   *
   * @param wallClockMilliseconds the wall-clock time in milliseconds since 1970, for fencing
   *     numbers
   * @param era the era of the store that this host knows; 0 if the store states none
   * @param revision the revision of that era up to which this host has read the data that the
   *     platform publishes
   * @param admittedUnits the units that this host has admitted since its start, by limited client
   *     account
   * @param loads the unfinished work that this host has at each instance
   * @param adapterRequests the number of this host's requests that use each adapter, by instance
   */
  record Tick(
      long wallClockMilliseconds,
      long era,
      long revision,
      Map<String, Double> admittedUnits,
      Map<String, InstanceLoad> loads,
      Map<String, Map<AdapterKey, Integer>> adapterRequests)
      implements FleetEvent {}
}
