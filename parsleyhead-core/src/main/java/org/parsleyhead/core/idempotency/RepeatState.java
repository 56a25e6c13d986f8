package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.membership.Standing;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The records of this host and its own claims.
 *
 * <p>Immutable and thread-safe.
 */
public final class RepeatState {

  private final RepeatSettings settings;
  private final Views views;
  private final PMap<String, RepeatRecord> records;
  private final PMap<RequestIdentifier, PendingClaim> claims;

  private RepeatState(
      RepeatSettings settings,
      Views views,
      PMap<String, RepeatRecord> records,
      PMap<RequestIdentifier, PendingClaim> claims) {
    this.settings = settings;
    this.views = views;
    this.records = records;
    this.claims = claims;
  }

  /** Returns the state of a process that started at a time. */
  public static RepeatState initial(
      RepeatSettings settings, Standing standing, MonotonicTime started) {
    Preconditions.requireNonNull(settings, "settings");
    Preconditions.requireNonNull(standing, "standing");
    return new RepeatState(
        settings,
        Views.initial(standing, settings, started),
        HashTreePMap.empty(),
        HashTreePMap.empty());
  }

  /** Returns how many requests are recorded. */
  public int recordCount() {
    return records.size();
  }

  /** Tells whether this host counts towards majorities. */
  public boolean isCertain(MonotonicTime time) {
    return views.active().isPresent() && views.isCertain(time);
  }

  /** Returns the standing that decisions are taken under. */
  public Standing standing() {
    return views.standing();
  }

  RepeatSettings settings() {
    return settings;
  }

  Views views() {
    return views;
  }

  HostName self() {
    return views.standing().self();
  }

  PMap<String, RepeatRecord> records() {
    return records;
  }

  PMap<RequestIdentifier, PendingClaim> claims() {
    return claims;
  }

  RepeatState with(Views next) {
    return new RepeatState(settings, next, records, claims);
  }

  RepeatState withRecord(String repeatKey, RepeatRecord entry) {
    return new RepeatState(settings, views, records.plus(repeatKey, entry), claims);
  }

  RepeatState withoutRecord(String repeatKey) {
    return new RepeatState(settings, views, records.minus(repeatKey), claims);
  }

  RepeatState withClaim(RequestIdentifier identifier, PendingClaim claim) {
    return new RepeatState(settings, views, records, claims.plus(identifier, claim));
  }

  RepeatState withoutClaim(RequestIdentifier identifier) {
    return new RepeatState(settings, views, records, claims.minus(identifier));
  }
}
