package org.parsleyhead.core.ticket;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.TicketNumber;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The digests of a catalogue, used to find differences between two hosts. Each item belongs to one
 * of {@value #BUCKETS} buckets; the digest of a bucket is the sum of the hashes of its items, each
 * hashed together with its ticket number.
 *
 * <p>Immutable and thread-safe. Catalogues with equal items have equal digests on all hosts. The
 * cost of changing one item does not depend on the number of items.
 */
public final class BucketDigests {

  /** The number of buckets; a power of two, since the hash is masked. */
  public static final int BUCKETS = 256;

  private static final BucketDigests EMPTY =
      new BucketDigests(TreePVector.from(Collections.nCopies(BUCKETS, 0L)), 0);

  private final PVector<Long> values;
  private final long root;

  private BucketDigests(PVector<Long> values, long root) {
    this.values = values;
    this.root = root;
  }

  static BucketDigests empty() {
    return EMPTY;
  }

  /** Returns the index of the bucket that contains an item. */
  static int bucketOf(ItemKey key) {
    return (int) (Rendezvous.hash(key.toString()) & (BUCKETS - 1));
  }

  /** Returns the digests after the ticket number of an item changed. */
  BucketDigests replace(ItemKey key, TicketNumber before, TicketNumber after) {
    long difference = hash(key, after) - hash(key, before);
    int bucket = bucketOf(key);
    return new BucketDigests(
        values.with(bucket, values.get(bucket) + difference), root + difference);
  }

  /** Returns the digest of the whole catalogue: the sum over all buckets. */
  public long root() {
    return root;
  }

  /** Returns the digests of the buckets, ordered by bucket index. */
  public List<Long> values() {
    return values;
  }

  /** Returns the indexes of the buckets whose digests differ from those of another host. */
  List<Integer> differingFrom(List<Long> others) {
    List<Integer> differing = new ArrayList<>();
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      if (!values.get(bucket).equals(others.get(bucket))) {
        differing.add(bucket);
      }
    }
    return differing;
  }

  private static long hash(ItemKey key, TicketNumber number) {
    return number.equals(TicketNumber.NONE) ? 0 : Rendezvous.hash(key + "@" + number);
  }
}
