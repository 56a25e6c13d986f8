package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.instance.Instance;
import org.pcollections.PMap;

/**
 * Decides which host holds the lease of which model server; only the holder sends orders to it.
 *
 * <p>Immutable and thread-safe. Two hosts never hold the lease of one server at a time, and the gap
 * between the last order of one holder and the first order of the next is at least {@link
 * FleetSettings#leaseGap()}: each holder has the votes of a majority of the known hosts, any two
 * majorities share a voter, and a vote binds its voter until the previous holder's lease has
 * expired and the gap has passed. A restarted voter has lost its votes and does not vote until that
 * time has passed. Only members claim and vote; {@link MembershipRules} keeps their majorities
 * overlapping while hosts join and are forgotten.
 */
final class Leases {

  /**
   * Part of a lease that its holder does not use, as allowance for clocks that run at different
   * speeds.
   */
  private static final Duration DRIFT_MARGIN = Duration.ofMillis(50);

  private final FleetSettings settings;

  Leases(FleetSettings settings) {
    this.settings = settings;
  }

  /** Returns the instances for which this host requests votes. */
  List<String> claims(FleetState state, MonotonicTime time) {
    if (!state.local().mayClaim(time)) {
      return List.of();
    }
    List<String> candidates = state.hubs();
    boolean candidate = candidates.contains(settings.self());
    if (!candidate && state.engines().isEmpty()) {
      return List.of();
    }
    Set<String> ownedByOthers = state.ownedByOthers();
    List<String> claims = new ArrayList<>();
    for (Instance instance : state.instances().values()) {
      boolean owned = state.engines().containsKey(instance.identifier());
      boolean preferred =
          !owned
              && candidate
              && !ownedByOthers.contains(instance.identifier())
              && Rendezvous.first(instance.identifier(), candidates)
                  .equals(Optional.of(settings.self()));
      if ((owned || preferred) && state.profile(instance).isPresent()) {
        claims.add(instance.identifier());
      }
    }
    return claims;
  }

  /**
   * Votes on the claims of a host; the effects are the instances that the claimant gets the vote
   * for.
   */
  Step<FleetState, String> vote(
      FleetState state, String claimant, List<String> claims, MonotonicTime time) {
    if (!state.local().mayVote(time)) {
      return Step.of(state);
    }
    PMap<String, Vote> votes = state.votes();
    List<String> granted = new ArrayList<>();
    for (String instance : claims) {
      Vote known = votes.get(instance);
      if (known == null || known.availableTo(claimant, time)) {
        votes = votes.plus(instance, new Vote(claimant, time.plus(settings.voteDuration())));
        granted.add(instance);
      }
    }
    return new Step<>(state.withVotes(votes), granted);
  }

  /**
   * Shortens the votes for a host that no longer sends orders, so that they expire after the lease
   * gap.
   */
  FleetState releaseVotes(FleetState state, String holder, MonotonicTime time) {
    MonotonicTime expiry = time.plus(settings.leaseGap());
    PMap<String, Vote> votes = state.votes();
    for (Map.Entry<String, Vote> vote : state.votes().entrySet()) {
      if (vote.getValue().holder().equals(holder)
          && expiry.isBefore(vote.getValue().boundUntil())) {
        votes = votes.plus(vote.getKey(), new Vote(holder, expiry));
      }
    }
    return state.withVotes(votes);
  }

  /**
   * Counts votes for claims that were sent at an instant; they count from that instant, not from
   * their arrival.
   *
   * @param knownHosts the number of hosts that the voter counts for majorities
   */
  FleetState countVotes(
      FleetState state,
      String voter,
      List<String> instances,
      int knownHosts,
      MonotonicTime sentAt) {
    Lease.ReceivedVote vote =
        new Lease.ReceivedVote(
            sentAt.plus(settings.leaseDuration()).minus(DRIFT_MARGIN), knownHosts);
    PMap<String, Lease> leases = state.leases();
    for (String instance : instances) {
      Lease lease = leases.getOrDefault(instance, Lease.CLAIMED);
      leases = leases.plus(instance, lease.withVote(voter, vote));
    }
    return state.withLeases(leases);
  }

  /**
   * Acquires the leases that have a majority of votes at an instant, and drops those that no longer
   * have one.
   */
  Step<FleetState, FleetEffect> updateOwnership(FleetState state, MonotonicTime time) {
    Step<FleetState, FleetEffect> step = Step.of(state);
    for (String instance : state.leases().keySet()) {
      step = step.andThen(next -> updateOwnershipOf(next, instance, time));
    }
    return step;
  }

  /** Acquires those of the leases that have a majority of votes at an instant. */
  Step<FleetState, FleetEffect> acquire(
      FleetState state, List<String> instances, MonotonicTime time) {
    Step<FleetState, FleetEffect> step = Step.of(state);
    for (String instance : instances) {
      if (!state.leases().get(instance).won()) {
        step = step.andThen(next -> updateOwnershipOf(next, instance, time));
      }
    }
    return step;
  }

  /** Returns the instant until which this host may send orders to an instance. */
  MonotonicTime heldUntil(FleetState state, String instance) {
    Lease lease = state.leases().getOrDefault(instance, Lease.CLAIMED);
    return lease.heldUntil(state.knownHosts());
  }

  private Step<FleetState, FleetEffect> updateOwnershipOf(
      FleetState state, String instance, MonotonicTime time) {
    Lease lease = state.leases().get(instance);
    // Votes for claims from before a planned stop may still arrive.
    boolean held = !state.local().leaving() && time.isBefore(lease.heldUntil(state.knownHosts()));
    if (held && !lease.won() && state.instances().containsKey(instance)) {
      long fence =
          Math.max(state.local().wallClockMilliseconds(), state.local().highestFence() + 1);
      FleetState won =
          state
              .withLocal(state.local().withObservedFence(fence))
              .withLeases(state.leases().plus(instance, lease.asWon(fence)))
              .withEngine(instance, OwnedEngine.unknown(time));
      return Step.of(won, logEvent("lease_won", instance, "fence=" + fence));
    }
    if (!held && lease.won()) {
      FleetState lost =
          state
              .withLeases(state.leases().plus(instance, lease.asLost()))
              .withEngines(state.engines().minus(instance));
      return Step.of(lost, logEvent("lease_lost", instance, "known_hosts=" + state.knownHosts()));
    }
    return Step.of(state);
  }

  private static FleetEffect logEvent(String event, String instance, String detail) {
    return new FleetEffect.LogEvent(event, instance, Optional.of(detail));
  }
}
