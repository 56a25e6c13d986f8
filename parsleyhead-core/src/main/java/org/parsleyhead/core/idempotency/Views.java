package org.parsleyhead.core.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.membership.Standing;

/**
 * Which version of the host list this host may act under, and whether it may have forgotten records
 * that matter there.
 *
 * <p>Immutable and thread-safe. A newer version is activated only when so many members of the
 * active one have seen it that no majority of the active one is left. If majorities of the two
 * versions need not have a member in common, the host is uncertain for the length of the window.
 *
 * @param standing the last standing of this host
 * @param recent the versions that were active within the window, the active one last
 * @param certainFrom from when this host's memory covers the window
 */
record Views(Standing standing, List<MemberList> recent, MonotonicTime certainFrom) {

  Views {
    recent = List.copyOf(recent);
  }

  static Views initial(Standing standing, RepeatSettings settings, MonotonicTime started) {
    return new Views(standing, List.of(), started.plus(settings.uncertainty()));
  }

  /** Returns the list to act under; empty while a newer one was seen and is not active yet. */
  Optional<MemberList> active() {
    return recent.isEmpty()
        ? Optional.empty()
        : Optional.of(last()).filter(list -> list.version() == standing.version());
  }

  boolean isCertain(MonotonicTime time) {
    return !time.isBefore(certainFrom);
  }

  Views with(Standing next, RepeatSettings settings, MonotonicTime time) {
    if (next.version() < standing.version()) {
      return this;
    }
    return new Views(next, recent, certainFrom).activate(settings, time);
  }

  /** Activates the version of the standing if that is allowed now. */
  Views activate(RepeatSettings settings, MonotonicTime time) {
    MemberList candidate = new MemberList(standing.version(), standing.members(), time);
    if (!standing.members().contains(standing.self())) {
      return this;
    }
    if (recent.isEmpty()) {
      return new Views(standing, List.of(candidate), certainFrom);
    }
    if (candidate.version() <= last().version() || !last().isSupersededBy(goneOn())) {
      return this;
    }
    MonotonicTime horizon = time.minus(settings.uncertainty());
    List<MemberList> kept = new ArrayList<>();
    for (int index = 0; index < recent.size(); index++) {
      boolean lastOne = index == recent.size() - 1;
      if (lastOne || horizon.isBefore(recent.get(index + 1).activated())) {
        kept.add(recent.get(index));
      }
    }
    boolean intersect = kept.stream().allMatch(candidate::majoritiesIntersect);
    MonotonicTime uncertainUntil = time.plus(settings.uncertainty());
    kept.add(candidate);
    return new Views(
        standing,
        kept,
        intersect || uncertainUntil.isBefore(certainFrom) ? certainFrom : uncertainUntil);
  }

  private List<HostName> goneOn() {
    Stream<HostName> others =
        standing.attestedVersion().entrySet().stream()
            .filter(entry -> entry.getValue() >= standing.version())
            .map(Map.Entry::getKey);
    return Stream.concat(Stream.of(standing.self()), others).distinct().toList();
  }

  private MemberList last() {
    return recent.get(recent.size() - 1);
  }
}
