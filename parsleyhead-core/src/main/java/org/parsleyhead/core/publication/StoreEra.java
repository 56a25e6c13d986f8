package org.parsleyhead.core.publication;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The era of the store, which increases whenever the store is restored from a copy, and what
 * remains in force of former eras.
 *
 * <p>Immutable and thread-safe. Without an increase, no former item exists.
 *
 * @param number the era; 0 for a store that states none
 * @param firstRead the number of the first read of this era; answers to earlier reads refer to
 *     revisions of a former era
 * @param firstRevision the revision up to which the copy was complete first in this era; what has a
 *     higher revision was written in this era; 0 while the copy is not complete
 * @param increasedAt when this host learned of the increase; empty if there was none, or if the
 *     confirmation time has ended
 * @param formerlyComplete whether the copy was complete in a former era
 * @param formerKnown whether the host knows what remains of former eras
 * @param inquiry the requests to other hosts for what remains of former eras
 * @param former the items that the current era has not replaced, by key
 * @param removed the last known versions of deleted items
 */
record StoreEra(
    long number,
    int firstRead,
    long firstRevision,
    Optional<MonotonicTime> increasedAt,
    boolean formerlyComplete,
    boolean formerKnown,
    FormerInquiry inquiry,
    PMap<String, FormerItem> former,
    RemovedItems removed) {

  static final StoreEra UNKNOWN =
      new StoreEra(
          0,
          0,
          0,
          Optional.empty(),
          false,
          true,
          FormerInquiry.NONE,
          HashTreePMap.empty(),
          RemovedItems.NONE);

  /**
   * Returns the next era.
   *
   * @param next its number
   * @param read the number of its first read
   * @param items the copy of the items in this era
   * @param complete whether that copy is complete
   */
  StoreEra increased(
      long next,
      int read,
      PMap<String, PublishedItem> items,
      boolean complete,
      MonotonicTime time) {
    PMap<String, FormerItem> kept = former;
    for (PublishedItem item : items.values()) {
      if (item.value().isPresent() && !kept.containsKey(item.key())) {
        kept = kept.plus(item.key(), FormerItem.present(item));
      }
    }
    for (var removal : removed.byKey().entrySet()) {
      if (!kept.containsKey(removal.getKey())) {
        PublishedItem deletion = new PublishedItem(removal.getKey(), number, 0, Optional.empty());
        kept =
            kept.plus(removal.getKey(), FormerItem.removed(deletion, removal.getValue().version()));
      }
    }
    return new StoreEra(
        next,
        read,
        0,
        kept.isEmpty() ? Optional.empty() : Optional.of(time),
        formerlyComplete || complete,
        formerlyComplete || complete,
        formerlyComplete || complete ? FormerInquiry.NONE : FormerInquiry.START,
        kept,
        removed);
  }

  /** Returns whether it is certain that an item was written in this era. */
  boolean wrote(PublishedItem item) {
    return firstRevision > 0 && item.revision() > firstRevision;
  }

  StoreEra withCompleteTo(long revision) {
    return firstRevision > 0
        ? this
        : new StoreEra(
            number,
            firstRead,
            revision,
            increasedAt,
            formerlyComplete,
            formerKnown,
            inquiry,
            former,
            removed);
  }

  StoreEra withFormer(PMap<String, FormerItem> next) {
    return new StoreEra(
        number,
        firstRead,
        firstRevision,
        increasedAt,
        formerlyComplete,
        formerKnown,
        inquiry,
        next,
        removed);
  }

  StoreEra withRemoved(RemovedItems next) {
    return next == removed
        ? this
        : new StoreEra(
            number,
            firstRead,
            firstRevision,
            increasedAt,
            formerlyComplete,
            formerKnown,
            inquiry,
            former,
            next);
  }

  StoreEra confirmed() {
    return new StoreEra(
        number,
        firstRead,
        firstRevision,
        Optional.empty(),
        formerlyComplete,
        formerKnown,
        inquiry,
        former,
        removed);
  }

  StoreEra withInquiry(FormerInquiry next) {
    return new StoreEra(
        number,
        firstRead,
        firstRevision,
        increasedAt,
        formerlyComplete,
        formerKnown,
        next,
        former,
        removed);
  }

  /**
   * Returns this era with what remains of former eras on another host.
   *
   * @param next the items that remain in force
   * @param learnedAt when the confirmation time began; empty if it has ended
   */
  StoreEra withFormerOf(PMap<String, FormerItem> next, Optional<MonotonicTime> learnedAt) {
    return new StoreEra(
        number,
        firstRead,
        firstRevision,
        learnedAt,
        formerlyComplete,
        true,
        FormerInquiry.NONE,
        next,
        removed);
  }

  /** Returns what remains of former eras, for another host. */
  FormerCopy formerCopy(Duration confirmationTime, MonotonicTime time) {
    if (number == 0 || !formerKnown) {
      return FormerCopy.UNKNOWN;
    }
    long left =
        increasedAt
            .map(at -> Math.max(1, confirmationTime.minus(time.since(at)).toMillis()))
            .orElse(0L);
    return new FormerCopy(List.copyOf(former.values()), left);
  }
}
