package org.parsleyhead.core.ticket;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.TicketNumber;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Digests of a catalogue: each item falls into one of {@value #BUCKETS} buckets, and the digest of
 * a bucket is the sum of the hashes of its items with their ticket numbers.
 *
 * <p>Immutable and thread-safe. Catalogues with equal items have equal digests on all hosts; a
 * change of one item costs the same however many items there are.
 */
public final class BucketDigests {

  /** The number of buckets. */
  public static final int BUCKETS = 256;

  private static final BucketDigests EMPTY =
      new BucketDigests(TreePVector.from(Collections.nCopies(BUCKETS, 0L)), 0);

  private final PVector<Long> sums;
  private final long root;

  private BucketDigests(PVector<Long> sums, long root) {
    this.sums = sums;
    this.root = root;
  }

  static BucketDigests empty() {
    return EMPTY;
  }

  /** Returns the bucket of an item. */
  static int bucketOf(ItemKey key) {
    return (int) (Rendezvous.hash(key.toString()) & (BUCKETS - 1));
  }

  /** Returns the digests after an item got a new ticket number. */
  BucketDigests replace(ItemKey key, TicketNumber before, TicketNumber after) {
    long difference = hash(key, after) - hash(key, before);
    int bucket = bucketOf(key);
    return new BucketDigests(sums.with(bucket, sums.get(bucket) + difference), root + difference);
  }

  /** Returns the digest of all items. */
  public long root() {
    return root;
  }

  /** Returns the digests of the buckets, in order. */
  public List<Long> sums() {
    return sums;
  }

  /** Returns the buckets whose digests differ from another host's. */
  List<Integer> differingFrom(List<Long> others) {
    List<Integer> differing = new ArrayList<>();
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      if (!sums.get(bucket).equals(others.get(bucket))) {
        differing.add(bucket);
      }
    }
    return differing;
  }

  private static long hash(ItemKey key, TicketNumber number) {
    return number.equals(TicketNumber.NONE) ? 0 : Rendezvous.hash(key + "@" + number);
  }
}
