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
import org.parsleyhead.core.membership.Standing;
import org.parsleyhead.core.scheduling.SchedulingEffect;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.core.scheduling.SchedulingState;

/**
 * One entry host of a fake fleet: both duties, its clock, its view of the list, its attestations.
 *
 * <p>Not thread-safe. While it is paused its events wait.
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
  private long version;
  private SortedSet<HostName> members = new TreeSet<>();
  private OwnershipState owned;
  private SchedulingState scheduled;
  private boolean paused;
  private long listsHiddenUntil;

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

  SchedulingState scheduled() {
    return scheduled;
  }

  MonotonicTime now() {
    return new MonotonicTime(clockOffset + (long) (fleet.timeline().now() * clockRate));
  }

  /** Starts a new run that remembers nothing. */
  void restart() {
    incarnation = new Incarnation(fleet.timeline().random().nextLong(Long.MAX_VALUE));
    started = now();
    version = 0;
    members = new TreeSet<>();
    attestedUntil.clear();
    attestedVersion.clear();
    claimableFrom.clear();
    lastAttestedTo.clear();
    delayed.clear();
    paused = false;
    owned = OwnershipState.initial(standing(), started);
    scheduled = SchedulingState.initial(standing(), started);
    engine(new EngineEvent.UpstreamsChanged(fleet.upstreams()));
    schedule(new SchedulingEvent.UpstreamsChanged(fleet.upstreams()));
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

  /** Runs an action of the present run, after the pause if there is one. */
  void whenAwake(Incarnation run, Runnable action) {
    if (!run.equals(incarnation)) {
      return;
    }
    if (paused) {
      delayed.add(() -> whenAwake(run, action));
    } else {
      action.run();
    }
  }

  /** Keeps new lists from this host until a true time in nanoseconds. */
  void hideListsUntil(long trueTime) {
    listsHiddenUntil = trueTime;
  }

  void readList(long newVersion, SortedSet<HostName> listed) {
    if (newVersion <= version) {
      return;
    }
    if (fleet.timeline().now() < listsHiddenUntil) {
      double wait = (listsHiddenUntil - fleet.timeline().now()) / 1e6;
      Incarnation run = incarnation;
      fleet.timeline().after(wait, () -> whenAwake(run, () -> readList(newVersion, listed)));
      return;
    }
    Duration attestation = fleet.ownershipSettings().attestation();
    for (HostName dropped : members) {
      if (!listed.contains(dropped)) {
        MonotonicTime last = lastAttestedTo.getOrDefault(dropped, started);
        claimableFrom.put(dropped, last.plus(attestation));
        attestedUntil.remove(dropped);
      }
    }
    listed.forEach(claimableFrom::remove);
    version = newVersion;
    members = new TreeSet<>(listed);
    standingChanged();
  }

  /** Returns the version at which this host attests to another; -1 if it does not. */
  long attestTo(HostName other) {
    if (!members.contains(other)) {
      return -1;
    }
    lastAttestedTo.put(other, now());
    return version;
  }

  void attested(HostName by, long atVersion, MonotonicTime requested) {
    if (atVersion >= 0 && members.contains(by)) {
      Duration relied =
          fleet.ownershipSettings().attestation().minus(fleet.ownershipSettings().clockMargin());
      attestedUntil.put(by, requested.plus(relied));
      attestedVersion.put(by, atVersion);
      standingChanged();
    }
  }

  SortedSet<HostName> members() {
    return members;
  }

  void tick() {
    long random = fleet.timeline().random().nextLong();
    engine(new EngineEvent.Tick(random));
    schedule(new SchedulingEvent.Tick(random));
  }

  void receive(Sender sender, PeerMessage message) {
    boolean forScheduling =
        message instanceof PinGrant
            || message instanceof PinRefusal
            || message instanceof PinRecall
            || message instanceof EngineHint;
    if (forScheduling) {
      schedule(new SchedulingEvent.MessageReceived(sender, message));
    } else {
      engine(new EngineEvent.MessageReceived(sender, message));
    }
  }

  void engine(EngineEvent event) {
    var step = ownership.apply(owned, event, now());
    owned = step.state();
    step.effects().forEach(effect -> fleet.carryOut(this, effect));
  }

  void schedule(SchedulingEvent event) {
    var step = scheduling.apply(scheduled, event, now());
    scheduled = step.state();
    step.effects().forEach(effect -> fleet.carryOut(this, effect));
  }

  private void standingChanged() {
    Standing standing = standing();
    engine(new EngineEvent.StandingChanged(standing));
    schedule(new SchedulingEvent.StandingChanged(standing));
  }

  private Standing standing() {
    return fleet.isTrustful() ? trustfulStanding() : attestedStanding();
  }

  private Standing trustfulStanding() {
    MonotonicTime always = now().plus(Duration.ofDays(1));
    Map<HostName, MonotonicTime> until = new HashMap<>();
    Map<HostName, Long> versions = new HashMap<>();
    members.forEach(member -> until.put(member, always));
    members.forEach(member -> versions.put(member, version));
    Map<HostName, MonotonicTime> claims = new HashMap<>();
    claimableFrom.keySet().forEach(dropped -> claims.put(dropped, started));
    return new Standing(name, incarnation, version, members, until, versions, claims);
  }

  private Standing attestedStanding() {
    return new Standing(
        name, incarnation, version, members, attestedUntil, attestedVersion, claimableFrom);
  }
}
