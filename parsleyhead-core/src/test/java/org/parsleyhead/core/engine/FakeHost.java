package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.scheduling.SchedulingEffect;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.core.scheduling.SchedulingState;

/**
 * An entry host of a fake fleet with its scheduling and ownership duties, clock, host list and
 * attestations.
 *
 * <p>Not thread-safe. Events of a paused host are delayed until it resumes.
 */
final class FakeHost {

  private final FakeFleet fleet;
  private final HostName name;
  private final long clockOffset;
  private final double clockRate;
  private final List<Runnable> delayed = new ArrayList<>();
  private final Map<HostName, MonotonicTime> attestedUntil = new HashMap<>();
  private final Map<HostName, Long> attestedVersion = new HashMap<>();
  private final Map<HostName, MonotonicTime> claimableFrom = new HashMap<>();
  private final Map<HostName, MonotonicTime> lastAttestedTo = new HashMap<>();
  private final Transition<OwnershipState, EngineEvent, EngineEffect> ownership;
  private final Transition<SchedulingState, SchedulingEvent, SchedulingEffect> scheduling;
  private Incarnation incarnation;
  private MonotonicTime started;
  private long listVersion;
  private SortedSet<HostName> members = new TreeSet<>();
  private OwnershipState ownershipState;
  private SchedulingState schedulingState;
  private boolean paused;
  private long listsDelayedUntil;

  FakeHost(
      FakeFleet fleet,
      HostName name,
      long clockOffset,
      double clockRate,
      Transition<OwnershipState, EngineEvent, EngineEffect> ownership,
      Transition<SchedulingState, SchedulingEvent, SchedulingEffect> scheduling) {
    this.fleet = fleet;
    this.name = name;
    this.clockOffset = clockOffset;
    this.clockRate = clockRate;
    this.ownership = ownership;
    this.scheduling = scheduling;
    restart();
  }

  HostName name() {
    return name;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  boolean isPaused() {
    return paused;
  }

  SchedulingState schedulingState() {
    return schedulingState;
  }

  MonotonicTime now() {
    return new MonotonicTime(clockOffset + (long) (fleet.timeline().now() * clockRate));
  }

  /** Restarts the process with a new incarnation and initial state. */
  void restart() {
    incarnation = new Incarnation(fleet.timeline().random().nextLong(Long.MAX_VALUE));
    started = now();
    listVersion = 0;
    members = new TreeSet<>();
    attestedUntil.clear();
    attestedVersion.clear();
    claimableFrom.clear();
    lastAttestedTo.clear();
    delayed.clear();
    paused = false;
    ownershipState = OwnershipState.initial(rightsSnapshot(), started);
    schedulingState = SchedulingState.initial(rightsSnapshot(), started);
    applyEngineEvent(new EngineEvent.UpstreamsChanged(fleet.upstreams()));
    applySchedulingEvent(new SchedulingEvent.UpstreamsChanged(fleet.upstreams()));
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    List<Runnable> waiting = new ArrayList<>(delayed);
    delayed.clear();
    waiting.forEach(Runnable::run);
  }

  /**
   * Runs an action immediately, or on resumption if the host is paused; drops it if the incarnation
   * has changed.
   */
  void whenResumed(Incarnation expected, Runnable action) {
    if (!expected.equals(incarnation)) {
      return;
    }
    if (paused) {
      delayed.add(() -> whenResumed(expected, action));
    } else {
      action.run();
    }
  }

  /** Delays the delivery of host lists until a fleet time in nanoseconds. */
  void delayListsUntil(long fleetTime) {
    listsDelayedUntil = fleetTime;
  }

  void readList(long newVersion, SortedSet<HostName> listed) {
    if (newVersion <= listVersion) {
      return;
    }
    if (fleet.timeline().now() < listsDelayedUntil) {
      double wait = (listsDelayedUntil - fleet.timeline().now()) / 1e6;
      Incarnation expected = incarnation;
      fleet.timeline().after(wait, () -> whenResumed(expected, () -> readList(newVersion, listed)));
      return;
    }
    Duration attestationDuration = fleet.ownershipSettings().attestationDuration();
    for (HostName removed : members) {
      if (!listed.contains(removed)) {
        MonotonicTime last = lastAttestedTo.getOrDefault(removed, started);
        claimableFrom.put(removed, last.plus(attestationDuration));
        attestedUntil.remove(removed);
      }
    }
    listed.forEach(claimableFrom::remove);
    listVersion = newVersion;
    members = new TreeSet<>(listed);
    applyRights();
  }

  /** Attests to another host; returns the host list version, or -1 if the host is not a member. */
  long attestTo(HostName other) {
    if (!members.contains(other)) {
      return -1;
    }
    lastAttestedTo.put(other, now());
    return listVersion;
  }

  void receiveAttestation(HostName by, long atVersion, MonotonicTime requested) {
    if (atVersion >= 0 && members.contains(by)) {
      Duration validity =
          fleet
              .ownershipSettings()
              .attestationDuration()
              .minus(fleet.ownershipSettings().clockMargin());
      attestedUntil.put(by, requested.plus(validity));
      attestedVersion.put(by, atVersion);
      applyRights();
    }
  }

  SortedSet<HostName> members() {
    return members;
  }

  void tick() {
    long random = fleet.timeline().random().nextLong();
    applyEngineEvent(new EngineEvent.Tick(random));
    applySchedulingEvent(new SchedulingEvent.Tick(random));
  }

  void receive(Sender sender, PeerMessage message) {
    boolean forScheduling =
        message instanceof PinGrant
            || message instanceof PinRefusal
            || message instanceof PinRecall
            || message instanceof EngineHint;
    if (forScheduling) {
      applySchedulingEvent(new SchedulingEvent.MessageReceived(sender, message));
    } else {
      applyEngineEvent(new EngineEvent.MessageReceived(sender, message));
    }
  }

  void applyEngineEvent(EngineEvent event) {
    var step = ownership.apply(ownershipState, event, now());
    ownershipState = step.state();
    step.effects().forEach(effect -> fleet.carryOut(this, effect));
  }

  void applySchedulingEvent(SchedulingEvent event) {
    var step = scheduling.apply(schedulingState, event, now());
    schedulingState = step.state();
    step.effects().forEach(effect -> fleet.carryOut(this, effect));
  }

  private void applyRights() {
    RightsSnapshot rightsSnapshot = rightsSnapshot();
    applyEngineEvent(new EngineEvent.RightsChanged(rightsSnapshot));
    applySchedulingEvent(new SchedulingEvent.RightsChanged(rightsSnapshot));
  }

  private RightsSnapshot rightsSnapshot() {
    return fleet.ignoresAttestations() ? alwaysAttestedSnapshot() : attestedSnapshot();
  }

  private RightsSnapshot alwaysAttestedSnapshot() {
    MonotonicTime farFuture = now().plus(Duration.ofDays(1));
    Map<HostName, MonotonicTime> until = new HashMap<>();
    Map<HostName, Long> versions = new HashMap<>();
    members.forEach(member -> until.put(member, farFuture));
    members.forEach(member -> versions.put(member, listVersion));
    Map<HostName, MonotonicTime> claims = new HashMap<>();
    claimableFrom.keySet().forEach(removed -> claims.put(removed, started));
    return new RightsSnapshot(name, incarnation, listVersion, members, until, versions, claims);
  }

  private RightsSnapshot attestedSnapshot() {
    return new RightsSnapshot(
        name, incarnation, listVersion, members, attestedUntil, attestedVersion, claimableFrom);
  }
}
