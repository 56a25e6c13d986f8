package org.parsleyhead.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.parsleyhead.core.dispatch.InstanceLoad;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.ServiceCatalogue;

/** What can happen in the fleet. Implementations are immutable and thread-safe. */
public sealed interface FleetEvent {

  /** Another host's heartbeat came. */
  record HeartbeatReceived(String host, long incarnation, Heartbeat heartbeat)
      implements FleetEvent {}

  /** The answer to a heartbeat came. */
  record AnswerReceived(String host, long incarnation, HeartbeatAnswer answer)
      implements FleetEvent {}

  /** Another host asks for a load. */
  record LoadRequested(LoadRequest request) implements FleetEvent {}

  /** This host needs a load. */
  record LoadAsked(String instance, AdapterKey adapter) implements FleetEvent {}

  /** An owner has answered a load request. */
  record LoadAnswered(LoadAnswer answer) implements FleetEvent {}

  /** A server answered an order; the status is 0 if there was no answer. */
  record OrderAnswered(String instance, long orderNumber, int status) implements FleetEvent {}

  /**
   * A server told its state.
   *
   * @param report the models and adapters that are there
   * @param coming adapters that are on their way
   * @param busy whether an order on a model goes on
   */
  record ReportRead(AdapterReport report, Set<AdapterKey> coming, boolean busy)
      implements FleetEvent {}

  /** A server did not tell its state. */
  record ReportFailed(String instance, String reason) implements FleetEvent {}

  /** Instances announced themselves anew. */
  record InstancesAnnounced(List<Instance> instances) implements FleetEvent {}

  /** The announcement of an instance was removed. */
  record InstanceRemoved(String identifier) implements FleetEvent {}

  /** A newer catalogue is in force. */
  record CatalogueChanged(ServiceCatalogue catalogue) implements FleetEvent {}

  /** The operators have declared a version of an adapter. */
  record VersionDeclared(AdapterKey adapter, long version) implements FleetEvent {}

  /** This process is about to stop. */
  record Leaving() implements FleetEvent {}

  /**
   * Time has passed.
   *
   * @param wallClockMillis the time of day, for fencing numbers
   * @param revision the revision up to which this host has read what the platform publishes
   * @param usage what this host has admitted for each limited client account
   * @param loads the work that this host has at each instance
   * @param use how many requests of this host use each adapter at each instance
   */
  record Tick(
      long wallClockMillis,
      long revision,
      Map<String, Double> usage,
      Map<String, InstanceLoad> loads,
      Map<String, Map<AdapterKey, Integer>> use)
      implements FleetEvent {}
}
