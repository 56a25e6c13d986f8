package org.parsleyhead.core.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.membership.RightsSnapshot;

/**
 * The version of the host list that this host may act under, and whether the host may lack records
 * that matter under it.
 *
 * <p>Immutable and thread-safe. A newer version is activated only once so many members of the
 * active version have moved on to it that the others are no longer a majority. If majorities of the
 * two versions do not necessarily have a member in common, the host is uncertain for {@link
 * RepeatSettings#uncertaintyDuration()}.
 *
 * @param rightsSnapshot the latest rights snapshot of this host
 * @param recent the versions that were active within that duration, the active one last
 * @param certainFrom the instant from which the records of this host cover the window
 */
record MembershipView(
    RightsSnapshot rightsSnapshot, List<MemberList> recent, MonotonicTime certainFrom) {

  /** Copies the recent versions. */
  MembershipView {
    recent = List.copyOf(recent);
  }

  static MembershipView initial(
      RightsSnapshot rightsSnapshot, RepeatSettings settings, MonotonicTime started) {
    return new MembershipView(
        rightsSnapshot, List.of(), started.plus(settings.uncertaintyDuration()));
  }

  /** Returns the list to act under; empty while a newer one is known but not yet active. */
  Optional<MemberList> active() {
    return recent.isEmpty()
        ? Optional.empty()
        : Optional.of(lastActivated()).filter(list -> list.version() == rightsSnapshot.version());
  }

  boolean isCertain(MonotonicTime time) {
    return !time.isBefore(certainFrom);
  }

  MembershipView withRightsSnapshot(
      RightsSnapshot next, RepeatSettings settings, MonotonicTime time) {
    if (next.version() < rightsSnapshot.version()) {
      return this;
    }
    return new MembershipView(next, recent, certainFrom).activate(settings, time);
  }

  /** Activates the version of the rights snapshot if enough members have moved on to it. */
  MembershipView activate(RepeatSettings settings, MonotonicTime time) {
    MemberList candidate = new MemberList(rightsSnapshot.version(), rightsSnapshot.members(), time);
    if (!rightsSnapshot.members().contains(rightsSnapshot.self())) {
      return this;
    }
    if (recent.isEmpty()) {
      return new MembershipView(rightsSnapshot, List.of(candidate), certainFrom);
    }
    if (candidate.version() <= lastActivated().version()
        || !lastActivated().isSupersededBy(membersOnCurrentVersion())) {
      return this;
    }
    MonotonicTime horizon = time.minus(settings.uncertaintyDuration());
    List<MemberList> kept = new ArrayList<>();
    for (int index = 0; index < recent.size(); index++) {
      boolean lastOne = index == recent.size() - 1;
      if (lastOne || horizon.isBefore(recent.get(index + 1).activatedAt())) {
        kept.add(recent.get(index));
      }
    }
    boolean intersect = kept.stream().allMatch(candidate::majoritiesIntersect);
    MonotonicTime uncertainUntil = time.plus(settings.uncertaintyDuration());
    kept.add(candidate);
    return new MembershipView(
        rightsSnapshot,
        kept,
        intersect || uncertainUntil.isBefore(certainFrom) ? certainFrom : uncertainUntil);
  }

  private List<HostName> membersOnCurrentVersion() {
    Stream<HostName> others =
        rightsSnapshot.attestedVersion().entrySet().stream()
            .filter(entry -> entry.getValue() >= rightsSnapshot.version())
            .map(Map.Entry::getKey);
    return Stream.concat(Stream.of(rightsSnapshot.self()), others).distinct().toList();
  }

  private MemberList lastActivated() {
    return recent.get(recent.size() - 1);
  }
}
