package org.parsleyhead.core.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;

/**
 * The cuts that a host knows: the last one that is known to be installed, and later ones.
 *
 * <p>Immutable and thread-safe. All cuts before the installed one are out of use everywhere. Until
 * a later cut is installed, a host's share is the smallest that any known cut gives it.
 *
 * @param base the last cut known to be installed; empty if none is
 * @param pending later cuts in the order of their versions
 */
public record CutView(Optional<Cut> base, List<Cut> pending) {

  /** The view of a process that starts. */
  public static final CutView EMPTY = new CutView(Optional.empty(), List.of());

  /** Checks and copies the cuts. */
  public CutView {
    Preconditions.requireNonNull(base, "base");
    pending = pending.stream().sorted().toList();
  }

  /** Returns all cuts in the order of their versions. */
  public List<Cut> all() {
    List<Cut> cuts = new ArrayList<>();
    base.ifPresent(cuts::add);
    cuts.addAll(pending);
    return cuts;
  }

  /** Returns the latest cut; empty if none is known. */
  public Optional<Cut> latest() {
    return pending.isEmpty() ? base : Optional.of(pending.get(pending.size() - 1));
  }

  /** Returns this view after a host list was read; a cut that cannot replace is left out. */
  public CutView hear(Cut heard) {
    Optional<Cut> latest = latest();
    boolean known =
        latest.isPresent()
            && (latest.get().members().equals(heard.members())
                || latest.get().version() >= heard.version());
    if (base.isEmpty()) {
      return known ? this : new CutView(base, List.of(heard));
    }
    if (known || !all().stream().allMatch(cut -> cut.isReplaceableBy(heard))) {
      return this;
    }
    List<Cut> cuts = new ArrayList<>(pending);
    cuts.add(heard);
    return new CutView(base, cuts);
  }

  /** Returns this view joined with that of another host; one without installed cut adds nothing. */
  public CutView merge(CutView other) {
    if (other.base.isEmpty() || equals(other)) {
      return this;
    }
    Optional<Cut> later = laterOf(base, other.base);
    List<Cut> cuts = new ArrayList<>();
    addAfter(later, pending, cuts);
    addAfter(later, other.pending, cuts);
    return new CutView(later, cuts);
  }

  /** Returns this view after its latest cut was installed. */
  public CutView installLatest() {
    return new CutView(latest(), List.of());
  }

  /** Returns the share that all known cuts allow to a host, in parts. */
  public long partsOf(HostName host) {
    return all().stream().mapToLong(cut -> cut.partsOf(host)).min().orElse(0);
  }

  private static void addAfter(Optional<Cut> first, List<Cut> cuts, List<Cut> target) {
    for (Cut cut : cuts) {
      boolean after =
          first.isEmpty()
              || (first.get().version() < cut.version()
                  && !first.get().members().equals(cut.members()));
      if (after && !target.contains(cut)) {
        target.add(cut);
      }
    }
  }

  private static Optional<Cut> laterOf(Optional<Cut> one, Optional<Cut> other) {
    if (one.isEmpty() || other.isEmpty()) {
      return one.isEmpty() ? other : one;
    }
    return one.get().version() >= other.get().version() ? one : other;
  }
}
