package org.parsleyhead.core.scheduling;

import java.util.List;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * The state of the scheduling duty of one host.
 *
 * <p>Immutable and thread-safe. Only adapters with waiting or running requests, pins or pin
 * requests have state.
 *
 * @param rightsSnapshot the exclusive rights and the cell members of this host
 * @param engines the engines of the cell
 * @param adapters the adapters with waiting or running requests, pins or pin requests
 * @param waiting the waiting requests
 * @param running the dispatched requests that have not ended
 * @param deadlines the waiting requests, ordered by deadline
 * @param shares the fair shares of the client accounts in the service
 * @param loadShares the fair shares of the client accounts in adapter loads
 * @param throughput the throughput that this host gets while requests wait for room
 * @param prefixAffinity the engines that last received the known prompt prefixes
 * @param readyEntries the total size of the ready sets of all engines
 * @param nextPinRequestNumber the number of the next pin request
 * @param nextSequence the sequence number of the next submitted request
 */
public record SchedulingState(
    RightsSnapshot rightsSnapshot,
    PMap<UpstreamName, EngineView> engines,
    PMap<AdapterReference, AdapterView> adapters,
    PMap<RequestIdentifier, WaitingRequest> waiting,
    PMap<RequestIdentifier, RunningRequest> running,
    TreePSet<DeadlineKey> deadlines,
    FairShares shares,
    LoadShares loadShares,
    Throughput throughput,
    PrefixAffinity prefixAffinity,
    int readyEntries,
    long nextPinRequestNumber,
    long nextSequence) {

  /** Returns the initial state of a process. */
  public static SchedulingState initial(RightsSnapshot rightsSnapshot, MonotonicTime time) {
    return new SchedulingState(
        rightsSnapshot,
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        TreePSet.empty(),
        FairShares.empty(),
        LoadShares.empty(),
        Throughput.unknown(time),
        PrefixAffinity.empty(),
        0,
        0,
        0);
  }

  /** Returns the number of waiting requests. */
  public int waitingCount() {
    return waiting.size();
  }

  /** Returns the number of dispatched requests that have not ended. */
  public int runningCount() {
    return running.size();
  }

  /** Returns the number of hosts that share the engines; at least 1. */
  int hostCount() {
    return Math.max(1, rightsSnapshot.members().size());
  }

  /** Returns whether any request waits only for room on an engine that holds its adapter. */
  boolean isSaturated() {
    return readyEntries > 0;
  }

  AdapterView adapter(AdapterReference adapter, MonotonicTime time) {
    AdapterView known = adapters.get(adapter);
    return known == null ? AdapterView.empty(time) : known;
  }

  /** Returns this state with the view of an adapter; an empty view is removed. */
  SchedulingState with(AdapterReference adapter, AdapterView view) {
    return withAdapters(
        view.isRemovable() ? adapters.minus(adapter) : adapters.plus(adapter, view));
  }

  SchedulingState with(EngineView engine) {
    return withEngines(engines.plus(engine.name(), engine));
  }

  SchedulingState advanceThroughput(MonotonicTime time) {
    return withThroughput(throughput.advance(isSaturated(), time));
  }

  Step<SchedulingState, SchedulingEffect> step(List<SchedulingEffect> effects) {
    return new Step<>(this, effects);
  }

  SchedulingState withRightsSnapshot(RightsSnapshot next) {
    return new SchedulingState(
        next,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixAffinity,
        readyEntries,
        nextPinRequestNumber,
        nextSequence);
  }

  SchedulingState withEngines(PMap<UpstreamName, EngineView> next) {
    return new SchedulingState(
        rightsSnapshot,
        next,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixAffinity,
        readyEntries,
        nextPinRequestNumber,
        nextSequence);
  }

  SchedulingState withAdapters(PMap<AdapterReference, AdapterView> next) {
    return new SchedulingState(
        rightsSnapshot,
        engines,
        next,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixAffinity,
        readyEntries,
        nextPinRequestNumber,
        nextSequence);
  }

  SchedulingState withWaiting(PMap<RequestIdentifier, WaitingRequest> next) {
    return new SchedulingState(
        rightsSnapshot,
        engines,
        adapters,
        next,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixAffinity,
        readyEntries,
        nextPinRequestNumber,
        nextSequence);
  }

  SchedulingState withRunning(PMap<RequestIdentifier, RunningRequest> next) {
    return new SchedulingState(
        rightsSnapshot,
        engines,
        adapters,
        waiting,
        next,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixAffinity,
        readyEntries,
        nextPinRequestNumber,
        nextSequence);
  }

  SchedulingState withDeadlines(TreePSet<DeadlineKey> next) {
    return new SchedulingState(
        rightsSnapshot,
        engines,
        adapters,
        waiting,
        running,
        next,
        shares,
        loadShares,
        throughput,
        prefixAffinity,
        readyEntries,
        nextPinRequestNumber,
        nextSequence);
  }

  SchedulingState withShares(FairShares next) {
    return new SchedulingState(
        rightsSnapshot,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        next,
        loadShares,
        throughput,
        prefixAffinity,
        readyEntries,
        nextPinRequestNumber,
        nextSequence);
  }

  SchedulingState withThroughput(Throughput next) {
    return new SchedulingState(
        rightsSnapshot,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        next,
        prefixAffinity,
        readyEntries,
        nextPinRequestNumber,
        nextSequence);
  }

  SchedulingState withPrefixAffinity(PrefixAffinity next) {
    return new SchedulingState(
        rightsSnapshot,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        next,
        readyEntries,
        nextPinRequestNumber,
        nextSequence);
  }

  SchedulingState withReadyEntries(int next) {
    return new SchedulingState(
        rightsSnapshot,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixAffinity,
        next,
        nextPinRequestNumber,
        nextSequence);
  }

  SchedulingState withNextPinRequestNumber(long next) {
    return new SchedulingState(
        rightsSnapshot,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixAffinity,
        readyEntries,
        next,
        nextSequence);
  }

  SchedulingState withNextSequence(long next) {
    return new SchedulingState(
        rightsSnapshot,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixAffinity,
        readyEntries,
        nextPinRequestNumber,
        next);
  }

  SchedulingState withLoadShares(LoadShares next) {
    return new SchedulingState(
        rightsSnapshot,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        next,
        throughput,
        prefixAffinity,
        readyEntries,
        nextPinRequestNumber,
        nextSequence);
  }
}
