package org.parsleyhead.core.ticket;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Requests the items of all buckets whose digests differ from the sender's.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the identifier, unique among the comparisons of the sending process
 * @param bucketDigests the digests of the sender's buckets, ordered by bucket index
 * @param replyRequested whether the receiver should reply with its own digests
 */
public record DigestComparison(long identifier, List<Long> bucketDigests, boolean replyRequested)
    implements PeerMessage {

  /** Validates and copies the digests. */
  public DigestComparison {
    Preconditions.require(
        bucketDigests.size() == BucketDigests.BUCKETS,
        "bucketDigests",
        "must have one digest per bucket");
    bucketDigests = List.copyOf(bucketDigests);
  }
}
