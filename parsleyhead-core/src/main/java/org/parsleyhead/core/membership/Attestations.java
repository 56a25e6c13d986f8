package org.parsleyhead.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.membership.RightsState.GivenAttestation;
import org.parsleyhead.core.membership.RightsState.PendingRequest;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The rules by which attestations are requested, given, counted and waited out.
 *
 * <p>Stateless apart from its settings and thread-safe. An attestation is counted from before its
 * request was sent, less the drift margin, and waited out from when it was given, plus the drift
 * margin. So the one who relies on it stops before the one who gave it starts, as long as clocks
 * drift apart by less than the margin.
 */
final class Attestations {

  private final MembershipSettings settings;
  private final ClaimRule claimRule;

  Attestations(MembershipSettings settings, ClaimRule claimRule) {
    this.settings = settings;
    this.claimRule = claimRule;
  }

  /** Returns the requests to the other members of the cell, if they are due. */
  RightsState request(
      RightsState state,
      HostList list,
      SortedSet<HostName> members,
      long randomNumber,
      MonotonicTime time,
      List<MembershipEffect> effects) {
    if (time.isBefore(state.nextRequest())) {
      return state;
    }
    if (state.stopping()) {
      return farewell(state, members, time, effects);
    }
    PMap<Long, PendingRequest> pending = withoutOverdue(state.pending(), time);
    int index = 0;
    for (HostName member : members) {
      if (!member.equals(settings.self())) {
        long nonce = RandomNumbers.derive(~randomNumber, index++);
        pending = pending.plus(nonce, new PendingRequest(member, time));
        effects.add(
            new MembershipEffect.Send(member, new AttestationRequest(nonce, list.version())));
      }
    }
    return state.withRequests(pending, time.plus(settings.attestationInterval()));
  }

  /** Forgets what has no effect any longer. */
  RightsState expire(RightsState state, MonotonicTime time) {
    PMap<HostName, MonotonicTime> until = state.attestedUntil();
    PMap<HostName, Long> version = state.attestedVersion();
    for (var entry : state.attestedUntil().entrySet()) {
      if (!time.isBefore(entry.getValue())) {
        until = until.minus(entry.getKey());
        version = version.minus(entry.getKey());
      }
    }
    PMap<HostName, GivenAttestation> given = state.given();
    for (var entry : state.given().entrySet()) {
      boolean dropped = state.claimableFrom().containsKey(entry.getKey());
      if (dropped && !time.isBefore(claimRule.freeFrom(entry.getValue().at()))) {
        given = given.minus(entry.getKey());
      }
    }
    return state.withAttested(until, version).withGiven(given);
  }

  /** Counts an attestation that answers one of this host's requests. */
  RightsState count(RightsState state, Sender sender, Attestation attestation, MonotonicTime time) {
    PendingRequest request = state.pending().get(attestation.nonce());
    if (state.stopping()
        || request == null
        || !request.host().equals(sender.host())
        || !attestation.incarnation().equals(settings.incarnation())) {
      return state;
    }
    RightsState answered =
        state.withRequests(state.pending().minus(attestation.nonce()), state.nextRequest());
    MonotonicTime until =
        request.sentAt().plus(attestation.duration()).minus(settings.driftMargin());
    MonotonicTime known = state.attestedUntil().get(sender.host());
    boolean later = known == null || known.isBefore(until);
    if (!later || !time.isBefore(until)) {
      return answered;
    }
    return answered.withAttested(
        state.attestedUntil().plus(sender.host(), until),
        state.attestedVersion().plus(sender.host(), attestation.listVersion()));
  }

  /** Tells the other members that this process will never use its rights again. */
  RightsState farewell(
      RightsState state,
      SortedSet<HostName> members,
      MonotonicTime time,
      List<MembershipEffect> effects) {
    members.stream()
        .filter(member -> !member.equals(settings.self()))
        .forEach(member -> effects.add(new MembershipEffect.Send(member, new Farewell())));
    return state.withRequests(state.pending(), time.plus(settings.attestationInterval()));
  }

  /** Gives up all rights, claims included. */
  RightsState stop(RightsState state, long nextSequence) {
    PMap<HostName, Long> releasing = state.releasing();
    for (HostName host : state.claimableFrom().keySet()) {
      releasing = releasing.plus(host, nextSequence);
    }
    return state.asStopping().withClaims(HashTreePMap.empty(), releasing);
  }

  /** Takes up that a run of a host's process relies on no attestation any longer. */
  RightsState departed(RightsState state, Sender sender) {
    GivenAttestation given = state.given().get(sender.host());
    boolean relied = given != null && given.incarnation().equals(sender.incarnation());
    PMap<HostName, GivenAttestation> remaining =
        relied ? state.given().minus(sender.host()) : state.given();
    return state
        .withGiven(remaining)
        .withDeparted(state.departed().plus(sender.host(), sender.incarnation()));
  }

  /** Returns the answer to a request; empty if nothing may be promised to the sender. */
  Optional<Attestation> answer(
      RightsState state,
      SortedSet<HostName> members,
      Sender sender,
      AttestationRequest request,
      MonotonicTime time) {
    boolean refused =
        !members.contains(sender.host())
            || state.claimableFrom().containsKey(sender.host())
            || state.releasing().containsKey(sender.host())
            || sender.incarnation().equals(state.departed().get(sender.host()))
            || otherIncarnationMayRely(state, sender, time);
    return refused
        ? Optional.empty()
        : Optional.of(
            new Attestation(
                request.nonce(),
                sender.incarnation(),
                state.appliedVersion(),
                settings.attestationDuration()));
  }

  /** Notes an attestation that is being given; a former run of the host gets none any more. */
  RightsState note(RightsState state, Sender sender, MonotonicTime time) {
    GivenAttestation attestation = new GivenAttestation(sender.incarnation(), time);
    GivenAttestation former = state.given().get(sender.host());
    boolean replaced = former != null && !former.incarnation().equals(sender.incarnation());
    RightsState noted = state.withGiven(state.given().plus(sender.host(), attestation));
    return replaced
        ? noted.withDeparted(noted.departed().plus(sender.host(), former.incarnation()))
        : noted;
  }

  /** Takes up a change of the members: dropped ones become claimable, returned ones released. */
  RightsState changeMembers(
      RightsState state, SortedSet<HostName> before, SortedSet<HostName> after, long nextSequence) {
    return claimDropped(withoutUnlisted(state, after), before, after, nextSequence);
  }

  private static RightsState withoutUnlisted(RightsState state, SortedSet<HostName> members) {
    PMap<HostName, Incarnation> departed = state.departed();
    for (HostName host : state.departed().keySet()) {
      departed = members.contains(host) ? departed : departed.minus(host);
    }
    return state.withDeparted(departed);
  }

  private RightsState claimDropped(
      RightsState state, SortedSet<HostName> before, SortedSet<HostName> after, long nextSequence) {
    if (state.stopping()) {
      return state;
    }
    PMap<HostName, MonotonicTime> claims = state.claimableFrom();
    PMap<HostName, Long> releasing = state.releasing();
    if (!after.contains(settings.self())) {
      for (HostName host : new ArrayList<>(claims.keySet())) {
        releasing = releasing.plus(host, nextSequence);
      }
      return state.withClaims(claims.minusAll(claims.keySet()), releasing);
    }
    for (HostName host : before) {
      if (!after.contains(host) && !host.equals(settings.self())) {
        claims = claims.plus(host, freeFrom(state, host));
      }
    }
    for (HostName host : after) {
      if (claims.containsKey(host)) {
        claims = claims.minus(host);
        releasing = releasing.plus(host, nextSequence);
      }
    }
    return state.withClaims(claims, releasing);
  }

  /** Takes up that all users of rights act on a standing. */
  RightsState applied(RightsState state, long sequence) {
    PMap<HostName, Long> releasing = state.releasing();
    for (var entry : state.releasing().entrySet()) {
      if (entry.getValue() <= sequence) {
        releasing = releasing.minus(entry.getKey());
      }
    }
    PMap<Long, Long> versions = state.versions();
    long applied = state.appliedVersion();
    for (var entry : state.versions().entrySet()) {
      if (entry.getKey() <= sequence) {
        applied = Math.max(applied, entry.getValue());
        versions = versions.minus(entry.getKey());
      }
    }
    long reached = Math.max(state.appliedSequence(), sequence);
    return state
        .withClaims(state.claimableFrom(), releasing)
        .withApplied(versions, applied, reached);
  }

  private MonotonicTime freeFrom(RightsState state, HostName host) {
    MonotonicTime free = claimRule.freeFrom(state.startedAt());
    GivenAttestation given = state.given().get(host);
    if (given == null) {
      return free;
    }
    MonotonicTime byAttestation = claimRule.freeFrom(given.at());
    return free.isBefore(byAttestation) ? byAttestation : free;
  }

  /**
   * Tells whether another run of the sender's process may still rely on this host. After its own
   * start this host cannot know to which run its former process attested.
   */
  private boolean otherIncarnationMayRely(RightsState state, Sender sender, MonotonicTime time) {
    if (time.isBefore(claimRule.freeFrom(state.startedAt()))) {
      return true;
    }
    GivenAttestation given = state.given().get(sender.host());
    return given != null
        && !given.incarnation().equals(sender.incarnation())
        && time.isBefore(claimRule.freeFrom(given.at()));
  }

  private PMap<Long, PendingRequest> withoutOverdue(
      PMap<Long, PendingRequest> pending, MonotonicTime time) {
    Duration limit = settings.attestationDuration();
    PMap<Long, PendingRequest> remaining = pending;
    for (var entry : pending.entrySet()) {
      if (time.since(entry.getValue().sentAt()).compareTo(limit) > 0) {
        remaining = remaining.minus(entry.getKey());
      }
    }
    return remaining;
  }
}
