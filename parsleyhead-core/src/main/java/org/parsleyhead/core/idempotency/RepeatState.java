package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The duplicate detection state of one host: its records and its own claims.
 *
 * <p>Immutable and thread-safe.
 */
public final class RepeatState {

  private final RepeatSettings settings;
  private final MembershipView membership;
  private final PMap<String, RepeatRecord> records;
  private final PMap<RequestIdentifier, PendingClaim> claims;

  private RepeatState(
      RepeatSettings settings,
      MembershipView membership,
      PMap<String, RepeatRecord> records,
      PMap<RequestIdentifier, PendingClaim> claims) {
    this.settings = settings;
    this.membership = membership;
    this.records = records;
    this.claims = claims;
  }

  /** Returns the state of a newly started process, without records or claims. */
  public static RepeatState initial(
      RepeatSettings settings, RightsSnapshot rightsSnapshot, MonotonicTime started) {
    Preconditions.requireNonNull(settings, "settings");
    Preconditions.requireNonNull(rightsSnapshot, "rightsSnapshot");
    return new RepeatState(
        settings,
        MembershipView.initial(rightsSnapshot, settings, started),
        HashTreePMap.empty(),
        HashTreePMap.empty());
  }

  /** Returns the number of recorded requests. */
  public int recordCount() {
    return records.size();
  }

  /** Returns whether the votes of this host count towards majorities at an instant. */
  public boolean isCertain(MonotonicTime time) {
    return membership.active().isPresent() && membership.isCertain(time);
  }

  /** Returns the rights snapshot under which decisions are made. */
  public RightsSnapshot rightsSnapshot() {
    return membership.rightsSnapshot();
  }

  RepeatSettings settings() {
    return settings;
  }

  MembershipView membership() {
    return membership;
  }

  HostName self() {
    return membership.rightsSnapshot().self();
  }

  PMap<String, RepeatRecord> records() {
    return records;
  }

  PMap<RequestIdentifier, PendingClaim> claims() {
    return claims;
  }

  RepeatState withMembership(MembershipView next) {
    return new RepeatState(settings, next, records, claims);
  }

  RepeatState withRecord(String repeatKey, RepeatRecord entry) {
    return new RepeatState(settings, membership, records.plus(repeatKey, entry), claims);
  }

  RepeatState withoutRecord(String repeatKey) {
    return new RepeatState(settings, membership, records.minus(repeatKey), claims);
  }

  RepeatState withClaim(RequestIdentifier identifier, PendingClaim claim) {
    return new RepeatState(settings, membership, records, claims.plus(identifier, claim));
  }

  RepeatState withoutClaim(RequestIdentifier identifier) {
    return new RepeatState(settings, membership, records, claims.minus(identifier));
  }
}
