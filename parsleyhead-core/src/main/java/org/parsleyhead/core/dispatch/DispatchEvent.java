package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.ServiceCatalogue;

/** What can happen to the requests of one host. Implementations are immutable and thread-safe. */
public sealed interface DispatchEvent {

  /** A whole request came in. */
  record Received(ServingRequest request) implements DispatchEvent {}

  /** The first part of an answer went to the caller. */
  record AnswerBegun(long requestKey, int attempt) implements DispatchEvent {}

  /** A send to an instance ended. */
  record AttemptEnded(long requestKey, int attempt, AttemptResult result)
      implements DispatchEvent {}

  /** The caller closed its connection. */
  record CallerLeft(long requestKey) implements DispatchEvent {}

  /** An instant that a request waits for has come. */
  record Wake(long requestKey, int wakeNumber) implements DispatchEvent {}

  /** A newer catalogue is in force. */
  record CatalogueChanged(ServiceCatalogue catalogue) implements DispatchEvent {}

  /** Instances announced themselves anew. */
  record InstancesAnnounced(List<Instance> instances) implements DispatchEvent {}

  /** The announcement of an instance was removed. */
  record InstanceRemoved(String identifier) implements DispatchEvent {}

  /** The host that owns an instance told what it holds. */
  record AdaptersReported(AdapterReport report) implements DispatchEvent {}

  /** A load of an adapter has been ordered. */
  record LoadOrdered(String instance, AdapterKey adapter, Duration readyIn)
      implements DispatchEvent {}

  /** A load of an adapter is not possible now. */
  record LoadRefused(String instance, AdapterKey adapter, String reason) implements DispatchEvent {}

  /**
   * Another host told what it has sent and admitted.
   *
   * @param host the host
   * @param incarnation the run that reported
   * @param sums whether the figures are sums over all hosts but this one
   * @param usage the units that were admitted for each client account
   * @param loads the work at each instance
   */
  record PeerReported(
      String host,
      long incarnation,
      boolean sums,
      Map<String, Double> usage,
      Map<String, SentLoad> loads)
      implements DispatchEvent {}

  /** The hosts that are alive, this one included. */
  record PeersCounted(List<String> hosts, int known) implements DispatchEvent {}

  /**
   * The hosts that give orders to instances have changed.
   *
   * @param instances the instances that some live host gives orders to
   * @param othersIn when orders to the others are possible at the earliest
   */
  record OwnersKnown(Set<String> instances, Duration othersIn) implements DispatchEvent {}

  /** The operators have declared a version of an adapter. */
  record VersionDeclared(AdapterKey adapter, long version) implements DispatchEvent {}

  /** This process stops soon; what would not end in time is not taken up any more. */
  record Stopping(StopStage stage) implements DispatchEvent {}

  /** Time has passed. */
  record Tick() implements DispatchEvent {}
}
