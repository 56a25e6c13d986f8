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
import org.parsleyhead.core.membership.RightsState.IssuedAttestation;
import org.parsleyhead.core.membership.RightsState.PendingRequest;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Decides when this host requests, issues and accepts attestations, and when it may claim the
 * rights of a host that was removed from the list.
 *
 * <p>Stateless apart from its settings and thread-safe. The receiver of an attestation measures its
 * duration from when the request was sent and subtracts the drift margin; the issuer measures it
 * from when the attestation was issued and adds the drift margin. So the receiver stops relying on
 * an attestation before the issuer may claim, as long as their clocks drift apart by less than the
 * margin.
 */
final class AttestationRules {

  private final MembershipSettings settings;
  private final ClaimRule claimRule;

  AttestationRules(MembershipSettings settings, ClaimRule claimRule) {
    this.settings = settings;
    this.claimRule = claimRule;
  }

  /**
   * Sends attestation requests to the other members of the cell if they are due. A process that is
   * stopping announces its departure again instead.
   */
  RightsState request(
      RightsState state,
      HostList list,
      SortedSet<HostName> members,
      long randomNumber,
      MonotonicTime time,
      List<MembershipEffect> effects) {
    if (time.isBefore(state.nextRequestAt())) {
      return state;
    }
    if (state.stopping()) {
      return announceDeparture(state, members, time, effects);
    }
    PMap<Long, PendingRequest> pending = withoutExpired(state.pending(), time);
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

  /**
   * Removes expired attestations that this host received, and expired ones that it issued to hosts
   * removed from the list.
   */
  RightsState expire(RightsState state, MonotonicTime time) {
    PMap<HostName, MonotonicTime> until = state.attestedUntil();
    PMap<HostName, Long> version = state.attestedVersion();
    for (var entry : state.attestedUntil().entrySet()) {
      if (!time.isBefore(entry.getValue())) {
        until = until.minus(entry.getKey());
        version = version.minus(entry.getKey());
      }
    }
    PMap<HostName, IssuedAttestation> issued = state.issued();
    for (var entry : state.issued().entrySet()) {
      boolean removed = state.claimableFrom().containsKey(entry.getKey());
      if (removed && !time.isBefore(claimRule.earliestClaim(entry.getValue().issuedAt()))) {
        issued = issued.minus(entry.getKey());
      }
    }
    return state.withAttestations(until, version).withIssued(issued);
  }

  /** Accepts an attestation that answers one of this host's outstanding requests. */
  RightsState accept(
      RightsState state, Sender sender, Attestation attestation, MonotonicTime time) {
    PendingRequest request = state.pending().get(attestation.nonce());
    if (state.stopping()
        || request == null
        || !request.host().equals(sender.host())
        || !attestation.incarnation().equals(settings.incarnation())) {
      return state;
    }
    RightsState answered =
        state.withRequests(state.pending().minus(attestation.nonce()), state.nextRequestAt());
    MonotonicTime until =
        request.sentAt().plus(attestation.duration()).minus(settings.driftMargin());
    MonotonicTime known = state.attestedUntil().get(sender.host());
    boolean later = known == null || known.isBefore(until);
    if (!later || !time.isBefore(until)) {
      return answered;
    }
    return answered.withAttestations(
        state.attestedUntil().plus(sender.host(), until),
        state.attestedVersion().plus(sender.host(), attestation.listVersion()));
  }

  /** Announces to the other members that this process will never use its rights again. */
  RightsState announceDeparture(
      RightsState state,
      SortedSet<HostName> members,
      MonotonicTime time,
      List<MembershipEffect> effects) {
    members.stream()
        .filter(member -> !member.equals(settings.self()))
        .forEach(member -> effects.add(new MembershipEffect.Send(member, new DepartureNotice())));
    return state.withRequests(state.pending(), time.plus(settings.attestationInterval()));
  }

  /** Releases all rights, including claims. */
  RightsState stop(RightsState state, long nextSequence) {
    PMap<HostName, Long> releasing = state.releasing();
    for (HostName host : state.claimableFrom().keySet()) {
      releasing = releasing.plus(host, nextSequence);
    }
    return state.asStopping().withClaims(HashTreePMap.empty(), releasing);
  }

  /** Records that a run of a host's process no longer relies on any attestation. */
  RightsState recordDeparture(RightsState state, Sender sender) {
    IssuedAttestation issued = state.issued().get(sender.host());
    boolean relied = issued != null && issued.incarnation().equals(sender.incarnation());
    PMap<HostName, IssuedAttestation> remaining =
        relied ? state.issued().minus(sender.host()) : state.issued();
    return state
        .withIssued(remaining)
        .withDeparted(state.departed().plus(sender.host(), sender.incarnation()));
  }

  /** Returns the attestation that answers a request; empty if none may be issued to the sender. */
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

  /** Records an issued attestation. A previous run of the host never receives one again. */
  RightsState recordIssued(RightsState state, Sender sender, MonotonicTime time) {
    IssuedAttestation attestation = new IssuedAttestation(sender.incarnation(), time);
    IssuedAttestation previous = state.issued().get(sender.host());
    boolean replaced = previous != null && !previous.incarnation().equals(sender.incarnation());
    RightsState updated = state.withIssued(state.issued().plus(sender.host(), attestation));
    return replaced
        ? updated.withDeparted(updated.departed().plus(sender.host(), previous.incarnation()))
        : updated;
  }

  /**
   * Applies a change of the members: this host claims the rights of removed members and releases
   * its claims on members that are listed again.
   */
  RightsState changeMembers(
      RightsState state, SortedSet<HostName> before, SortedSet<HostName> after, long nextSequence) {
    return updateClaims(withoutUnlisted(state, after), before, after, nextSequence);
  }

  private static RightsState withoutUnlisted(RightsState state, SortedSet<HostName> members) {
    PMap<HostName, Incarnation> departed = state.departed();
    for (HostName host : state.departed().keySet()) {
      departed = members.contains(host) ? departed : departed.minus(host);
    }
    return state.withDeparted(departed);
  }

  private RightsState updateClaims(
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
        claims = claims.plus(host, earliestClaim(state, host));
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

  /** Records that all users of rights in this process have applied a rights snapshot. */
  RightsState recordApplied(RightsState state, long sequence) {
    PMap<HostName, Long> releasing = state.releasing();
    for (var entry : state.releasing().entrySet()) {
      if (entry.getValue() <= sequence) {
        releasing = releasing.minus(entry.getKey());
      }
    }
    PMap<Long, Long> unapplied = state.unappliedVersions();
    long applied = state.appliedVersion();
    for (var entry : state.unappliedVersions().entrySet()) {
      if (entry.getKey() <= sequence) {
        applied = Math.max(applied, entry.getValue());
        unapplied = unapplied.minus(entry.getKey());
      }
    }
    long appliedSequence = Math.max(state.appliedSequence(), sequence);
    return state
        .withClaims(state.claimableFrom(), releasing)
        .withApplied(unapplied, applied, appliedSequence);
  }

  private MonotonicTime earliestClaim(RightsState state, HostName host) {
    MonotonicTime earliest = claimRule.earliestClaim(state.startedAt());
    IssuedAttestation issued = state.issued().get(host);
    if (issued == null) {
      return earliest;
    }
    MonotonicTime byAttestation = claimRule.earliestClaim(issued.issuedAt());
    return earliest.isBefore(byAttestation) ? byAttestation : earliest;
  }

  /**
   * Returns whether another run of the sender's process may still rely on an attestation of this
   * host. Until the attestations of its previous run have expired, this host cannot know to which
   * run that process issued them.
   */
  private boolean otherIncarnationMayRely(RightsState state, Sender sender, MonotonicTime time) {
    if (time.isBefore(claimRule.earliestClaim(state.startedAt()))) {
      return true;
    }
    IssuedAttestation issued = state.issued().get(sender.host());
    return issued != null
        && !issued.incarnation().equals(sender.incarnation())
        && time.isBefore(claimRule.earliestClaim(issued.issuedAt()));
  }

  private PMap<Long, PendingRequest> withoutExpired(
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
