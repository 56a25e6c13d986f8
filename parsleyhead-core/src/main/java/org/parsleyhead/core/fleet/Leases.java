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
 * Decides which host gives orders to which model server.
 *
 * <p>Immutable and thread-safe. Two hosts never hold the lease of one server at a time, and the gap
 * between the last order of one and the first order of the next is at least {@link
 * FleetSettings#leaseGap()}: each won a majority of the known hosts, two majorities share a voter,
 * and a vote binds its voter until the former holder's lease and the gap have passed. A voter that
 * has restarted does not vote before that time has passed. A host that has restarted counts only
 * once it has heard which hosts there are: from one that surely knows, or from all seeds.
 */
final class Leases {

  /** Part of a lease that is not used, for clocks that run at different speeds. */
  private static final Duration DRIFT_MARGIN = Duration.ofMillis(50);

  private final FleetSettings settings;

  Leases(FleetSettings settings) {
    this.settings = settings;
  }

  /** Returns the instances for which this host should ask for votes. */
  List<String> claims(FleetState state, MonotonicTime time) {
    if (!state.clocks().mayClaim(time)) {
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

  /** Returns the claims that a host gets this host's vote for, and the state that is bound. */
  Step<FleetState, String> vote(
      FleetState state, String claimant, List<String> claims, MonotonicTime time) {
    if (time.isBefore(state.clocks().votesFrom())) {
      return Step.of(state);
    }
    PMap<String, Vote> votes = state.votes();
    List<String> given = new ArrayList<>();
    for (String instance : claims) {
      Vote known = votes.get(instance);
      if (known == null || known.free(claimant, time)) {
        votes = votes.plus(instance, new Vote(claimant, time.plus(settings.voteTime())));
        given.add(instance);
      }
    }
    return new Step<>(state.withVotes(votes), given);
  }

  /** Frees the votes for a host that has stopped to give orders, once the gap has passed. */
  FleetState released(FleetState state, String holder, MonotonicTime time) {
    MonotonicTime free = time.plus(settings.leaseGap());
    PMap<String, Vote> votes = state.votes();
    for (Map.Entry<String, Vote> vote : state.votes().entrySet()) {
      if (vote.getValue().holder().equals(holder) && free.isBefore(vote.getValue().boundUntil())) {
        votes = votes.plus(vote.getKey(), new Vote(holder, free));
      }
    }
    return state.withVotes(votes);
  }

  /** Counts votes for claims that were sent at an instant. */
  FleetState count(FleetState state, String voter, List<String> instances, MonotonicTime sentAt) {
    MonotonicTime countsUntil = sentAt.plus(settings.lease()).minus(DRIFT_MARGIN);
    PMap<String, Lease> leases = state.leases();
    for (String instance : instances) {
      Lease lease = leases.getOrDefault(instance, Lease.CLAIMED);
      leases = leases.plus(instance, lease.vote(voter, countsUntil));
    }
    return state.withLeases(leases);
  }

  /** Wins and loses leases as of an instant. */
  Step<FleetState, FleetEffect> settle(FleetState state, MonotonicTime time) {
    Step<FleetState, FleetEffect> step = Step.of(state);
    for (String instance : state.leases().keySet()) {
      step = step.andThen(next -> settleOne(next, instance, time));
    }
    return step;
  }

  /** Returns the instant until which this host may give orders to an instance. */
  MonotonicTime heldUntil(FleetState state, String instance) {
    Lease lease = state.leases().getOrDefault(instance, Lease.CLAIMED);
    return lease.heldUntil(state.majority());
  }

  private Step<FleetState, FleetEffect> settleOne(
      FleetState state, String instance, MonotonicTime time) {
    Lease lease = state.leases().get(instance);
    boolean held = time.isBefore(lease.heldUntil(state.majority()));
    if (held && !lease.won() && state.instances().containsKey(instance)) {
      long fence = Math.max(state.clocks().wallClockMillis(), state.clocks().highestFence() + 1);
      FleetState won =
          state
              .withClocks(state.clocks().fence(fence))
              .withLeases(state.leases().plus(instance, lease.win(fence)))
              .withEngine(instance, OwnedEngine.unknown(time));
      return Step.of(won, note("lease_won", instance, "fence=" + fence));
    }
    if (!held && lease.won()) {
      FleetState lost =
          state
              .withLeases(state.leases().plus(instance, lease.lose()))
              .withEngines(state.engines().minus(instance));
      return Step.of(lost, note("lease_lost", instance, "known_hosts=" + state.knownHosts()));
    }
    return Step.of(state);
  }

  private static FleetEffect note(String event, String instance, String detail) {
    return new FleetEffect.Note(event, instance, Optional.of(detail));
  }
}
