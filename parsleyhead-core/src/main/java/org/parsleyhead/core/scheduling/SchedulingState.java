package org.parsleyhead.core.scheduling;

import java.util.List;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.Standing;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * The state of the scheduling duty of one host.
 *
 * <p>Immutable and thread-safe. Only adapters with waiting or running requests or pins have state.
 *
 * @param standing the host list and the attestations
 * @param engines the engines of the cell
 * @param adapters the adapters with requests or pins
 * @param waiting the requests that wait
 * @param running the requests that were dispatched
 * @param deadlines the requests that wait, by deadline
 * @param shares the shares of the client accounts
 * @param loadShares the shares of the client accounts in the loads
 * @param throughput the service that this host gets under load
 * @param prefixes where prompts with equal beginnings went
 * @param readyEntries the size of all ready sets together
 * @param nextNumber the number of the next pin request
 * @param nextSequence the number of the next request
 */
public record SchedulingState(
    Standing standing,
    PMap<UpstreamName, EngineView> engines,
    PMap<AdapterReference, AdapterView> adapters,
    PMap<RequestIdentifier, WaitingRequest> waiting,
    PMap<RequestIdentifier, RunningRequest> running,
    TreePSet<DeadlineKey> deadlines,
    FairShares shares,
    LoadShares loadShares,
    Throughput throughput,
    PrefixMemory prefixes,
    int readyEntries,
    long nextNumber,
    long nextSequence) {

  /** Returns the state of a process that has just started. */
  public static SchedulingState initial(Standing standing, MonotonicTime time) {
    return new SchedulingState(
        standing,
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        TreePSet.empty(),
        FairShares.empty(),
        LoadShares.empty(),
        Throughput.unknown(time),
        PrefixMemory.empty(),
        0,
        0,
        0);
  }

  /** Returns how many requests wait. */
  public int waitingCount() {
    return waiting.size();
  }

  /** Returns how many dispatched requests have not ended. */
  public int runningCount() {
    return running.size();
  }

  /** Returns how many hosts share the engines. */
  int hosts() {
    return Math.max(1, standing.members().size());
  }

  /** Tells whether requests wait for nothing but room on an engine. */
  boolean isSaturated() {
    return readyEntries > 0;
  }

  AdapterView adapter(AdapterReference adapter, MonotonicTime time) {
    AdapterView known = adapters.get(adapter);
    return known == null ? AdapterView.empty(time) : known;
  }

  /** Returns this state with a view of an adapter; one that tells nothing is dropped. */
  SchedulingState with(AdapterReference adapter, AdapterView view) {
    return withAdapters(
        view.isForgettable() ? adapters.minus(adapter) : adapters.plus(adapter, view));
  }

  SchedulingState with(EngineView engine) {
    return withEngines(engines.plus(engine.name(), engine));
  }

  SchedulingState observe(MonotonicTime time) {
    return withThroughput(throughput.advance(isSaturated(), time));
  }

  Step<SchedulingState, SchedulingEffect> step(List<SchedulingEffect> effects) {
    return new Step<>(this, effects);
  }

  SchedulingState withStanding(Standing next) {
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
        prefixes,
        readyEntries,
        nextNumber,
        nextSequence);
  }

  SchedulingState withEngines(PMap<UpstreamName, EngineView> next) {
    return new SchedulingState(
        standing,
        next,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixes,
        readyEntries,
        nextNumber,
        nextSequence);
  }

  SchedulingState withAdapters(PMap<AdapterReference, AdapterView> next) {
    return new SchedulingState(
        standing,
        engines,
        next,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixes,
        readyEntries,
        nextNumber,
        nextSequence);
  }

  SchedulingState withWaiting(PMap<RequestIdentifier, WaitingRequest> next) {
    return new SchedulingState(
        standing,
        engines,
        adapters,
        next,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixes,
        readyEntries,
        nextNumber,
        nextSequence);
  }

  SchedulingState withRunning(PMap<RequestIdentifier, RunningRequest> next) {
    return new SchedulingState(
        standing,
        engines,
        adapters,
        waiting,
        next,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixes,
        readyEntries,
        nextNumber,
        nextSequence);
  }

  SchedulingState withDeadlines(TreePSet<DeadlineKey> next) {
    return new SchedulingState(
        standing,
        engines,
        adapters,
        waiting,
        running,
        next,
        shares,
        loadShares,
        throughput,
        prefixes,
        readyEntries,
        nextNumber,
        nextSequence);
  }

  SchedulingState withShares(FairShares next) {
    return new SchedulingState(
        standing,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        next,
        loadShares,
        throughput,
        prefixes,
        readyEntries,
        nextNumber,
        nextSequence);
  }

  SchedulingState withThroughput(Throughput next) {
    return new SchedulingState(
        standing,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        next,
        prefixes,
        readyEntries,
        nextNumber,
        nextSequence);
  }

  SchedulingState withPrefixes(PrefixMemory next) {
    return new SchedulingState(
        standing,
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
        nextNumber,
        nextSequence);
  }

  SchedulingState withReadyEntries(int next) {
    return new SchedulingState(
        standing,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixes,
        next,
        nextNumber,
        nextSequence);
  }

  SchedulingState withNextNumber(long next) {
    return new SchedulingState(
        standing,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixes,
        readyEntries,
        next,
        nextSequence);
  }

  SchedulingState withNextSequence(long next) {
    return new SchedulingState(
        standing,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        loadShares,
        throughput,
        prefixes,
        readyEntries,
        nextNumber,
        next);
  }

  SchedulingState withLoadShares(LoadShares next) {
    return new SchedulingState(
        standing,
        engines,
        adapters,
        waiting,
        running,
        deadlines,
        shares,
        next,
        throughput,
        prefixes,
        readyEntries,
        nextNumber,
        nextSequence);
  }
}
