package org.parsleyhead.core.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;

/**
 * The allocations that a host knows: the last one known to be installed, and later ones.
 *
 * <p>Immutable and thread-safe. No host uses an allocation older than the installed one. Until a
 * later allocation is installed, a host's share is the smallest that any known allocation assigns
 * to it.
 *
 * @param installed the last allocation known to be installed; empty if none is
 * @param pending later allocations in ascending order of version
 */
public record AllocationView(Optional<ShareAllocation> installed, List<ShareAllocation> pending) {

  /** The view of a process that has just started. */
  public static final AllocationView EMPTY = new AllocationView(Optional.empty(), List.of());

  /** Validates the components, and copies and sorts the pending allocations. */
  public AllocationView {
    Preconditions.requireNonNull(installed, "installed");
    pending = pending.stream().sorted().toList();
  }

  /** Returns all known allocations in ascending order of version. */
  public List<ShareAllocation> all() {
    List<ShareAllocation> allocations = new ArrayList<>();
    installed.ifPresent(allocations::add);
    allocations.addAll(pending);
    return allocations;
  }

  /** Returns the latest allocation; empty if none is known. */
  public Optional<ShareAllocation> latest() {
    return pending.isEmpty() ? installed : Optional.of(pending.get(pending.size() - 1));
  }

  /**
   * Returns this view with the allocation of a newly read host list, or this view if that
   * allocation may not replace all known ones. While none is installed, the newly read allocation
   * takes the place of the pending one.
   */
  public AllocationView withProposed(ShareAllocation proposed) {
    Optional<ShareAllocation> latest = latest();
    boolean known =
        latest.isPresent()
            && (latest.get().members().equals(proposed.members())
                || latest.get().version() >= proposed.version());
    if (installed.isEmpty()) {
      return known ? this : new AllocationView(installed, List.of(proposed));
    }
    if (known || !all().stream().allMatch(allocation -> allocation.isReplaceableBy(proposed))) {
      return this;
    }
    List<ShareAllocation> allocations = new ArrayList<>(pending);
    allocations.add(proposed);
    return new AllocationView(installed, allocations);
  }

  /**
   * Returns this view merged with that of another host. A view without an installed allocation adds
   * nothing.
   */
  public AllocationView merge(AllocationView other) {
    if (other.installed.isEmpty() || equals(other)) {
      return this;
    }
    Optional<ShareAllocation> later = laterOf(installed, other.installed);
    List<ShareAllocation> allocations = new ArrayList<>();
    addLater(later, pending, allocations);
    addLater(later, other.pending, allocations);
    return new AllocationView(later, allocations);
  }

  /** Returns this view with its latest allocation installed. */
  public AllocationView installLatest() {
    return new AllocationView(latest(), List.of());
  }

  /** Returns the smallest share, in parts, that any known allocation assigns to a host. */
  public long partsOf(HostName host) {
    return all().stream().mapToLong(allocation -> allocation.partsOf(host)).min().orElse(0);
  }

  private static void addLater(
      Optional<ShareAllocation> first,
      List<ShareAllocation> allocations,
      List<ShareAllocation> target) {
    for (ShareAllocation allocation : allocations) {
      boolean after =
          first.isEmpty()
              || (first.get().version() < allocation.version()
                  && !first.get().members().equals(allocation.members()));
      if (after && !target.contains(allocation)) {
        target.add(allocation);
      }
    }
  }

  private static Optional<ShareAllocation> laterOf(
      Optional<ShareAllocation> one, Optional<ShareAllocation> other) {
    if (one.isEmpty() || other.isEmpty()) {
      return one.isEmpty() ? other : one;
    }
    return one.get().version() >= other.get().version() ? one : other;
  }
}
