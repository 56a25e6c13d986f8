package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.quarantine.Trait;
import org.parsleyhead.core.quarantine.TraitReport;
import org.parsleyhead.core.serving.ServiceCatalogue;

/** The events of {@link DispatchTransition}. Implementations are immutable and thread-safe. */
public sealed interface DispatchEvent {

  /** A complete request was received. */
  record Received(ServingRequest request) implements DispatchEvent {}

  /**
   * The first part of a response was written to the caller.
   *
   * @param requestKey the key of the request
   * @param attempt the number of the attempt
   * @param load the load that the head of the response reports; empty if it reports none
   */
  record ResponseStarted(long requestKey, int attempt, Optional<ReportedLoad> load)
      implements DispatchEvent {

    /** Creates the event of a response that reports no load. */
    public ResponseStarted(long requestKey, int attempt) {
      this(requestKey, attempt, Optional.empty());
    }
  }

  /**
   * A stream that has started and can be resumed has had no complete event for some time; repeated
   * while it stays silent.
   */
  record StreamSilent(long requestKey, int attempt) implements DispatchEvent {}

  /** An attempt that was to be withdrawn goes on, since its instance was not silent any more. */
  record AttemptKept(long requestKey, int attempt) implements DispatchEvent {}

  /**
   * An attempt at an instance ended.
   *
   * @param requestKey the key of the request
   * @param attempt the number of the attempt
   * @param result how it ended
   * @param load the load that the head of the response reports, if no event has passed it on yet
   */
  record AttemptEnded(
      long requestKey, int attempt, AttemptResult result, Optional<ReportedLoad> load)
      implements DispatchEvent {

    /** Creates the event of an attempt whose response reports no load. */
    public AttemptEnded(long requestKey, int attempt, AttemptResult result) {
      this(requestKey, attempt, result, Optional.empty());
    }
  }

  /** The caller closed its connection. */
  record CallerDisconnected(long requestKey) implements DispatchEvent {}

  /** A scheduled wake event of a request is due. */
  record Wake(long requestKey, int wakeNumber) implements DispatchEvent {}

  /** A catalogue was received. */
  record CatalogueChanged(ServiceCatalogue catalogue) implements DispatchEvent {}

  /** Announcements of instances were received. */
  record InstancesAnnounced(List<Instance> instances) implements DispatchEvent {}

  /** The announcement of an instance was removed. */
  record InstanceRemoved(String identifier) implements DispatchEvent {}

  /**
   * An instance stated in an answer what it wants of this host.
   *
   * @param instance the instance, as it was announced when the request was sent
   * @param leaving whether it is about to leave
   * @param refusesFor how long it wants no further requests; empty if it does not say
   * @param coldFor how long it stays cold; empty if it does not say
   */
  record InstanceNotice(
      Instance instance, boolean leaving, Optional<Duration> refusesFor, Optional<Duration> coldFor)
      implements DispatchEvent {

    /** Creates the notice of an instance that does not say whether it is cold. */
    public InstanceNotice(Instance instance, boolean leaving, Optional<Duration> refusesFor) {
      this(instance, leaving, refusesFor, Optional.empty());
    }
  }

  /** The owner of an instance reported the models and adapters that the instance holds. */
  record AdaptersReported(AdapterReport report) implements DispatchEvent {}

  /**
   * The owner of an instance ordered it to load an adapter.
   *
   * @param instance the identifier of the instance
   * @param adapter the adapter
   * @param readyIn the time until the owner expects the adapter to be loaded
   * @param loadingFor the time since the load was ordered
   */
  record LoadOrdered(String instance, AdapterKey adapter, Duration readyIn, Duration loadingFor)
      implements DispatchEvent {

    /** Creates the event of a load that was ordered now. */
    public LoadOrdered(String instance, AdapterKey adapter, Duration readyIn) {
      this(instance, adapter, readyIn, Duration.ZERO);
    }
  }

  /** A request to load an adapter was refused. */
  record LoadRefused(String instance, AdapterKey adapter, String reason) implements DispatchEvent {}

  /**
   * Another host reported its load and usage.
   *
   * @param host the reporting host
   * @param incarnation the incarnation of its process
   * @param aggregated whether the report contains totals over all hosts except this one
   * @param usage the admitted units of each client account
   * @param loads the load at each instance
   */
  record PeerReported(
      String host,
      long incarnation,
      boolean aggregated,
      Map<String, Double> usage,
      Map<String, InstanceLoad> loads)
      implements DispatchEvent {}

  /**
   * The live hosts have changed.
   *
   * @param liveHosts the hosts that are alive, including this one
   * @param knownHostCount the number of known hosts, including this one
   */
  record LiveHostsChanged(List<String> liveHosts, int knownHostCount) implements DispatchEvent {}

  /**
   * The ownership of instances has changed.
   *
   * @param ownedInstances the instances that have a live owner, which may send them orders
   * @param takeoverDelay the minimum time until the other instances can get an owner
   */
  record InstanceOwnersChanged(Set<String> ownedInstances, Duration takeoverDelay)
      implements DispatchEvent {}

  /** The evacuation of a failure domain was requested or revoked. */
  record EvacuationChanged(FailureDomainName domain, boolean evacuated) implements DispatchEvent {}

  /** The operators declared a version of an adapter. */
  record VersionDeclared(AdapterKey adapter, long version) implements DispatchEvent {}

  /** Another host told its evidence about requests that may end their servers. */
  record QuarantineNews(String host, List<TraitReport> reports) implements DispatchEvent {}

  /** Operators lift the restriction of a trait. */
  record RestrictionLifted(Trait trait) implements DispatchEvent {}

  /** The shutdown of this process reached a stage that refuses some or all new requests. */
  record Stopping(StopPlan plan) implements DispatchEvent {}

  /** Periodic event of the duty. */
  record Tick() implements DispatchEvent {}
}
