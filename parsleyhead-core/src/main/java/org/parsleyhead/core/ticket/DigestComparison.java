package org.parsleyhead.core.ticket;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Asks for the items of all buckets whose digests differ from the sender's.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier identifies this comparison among those of the sender's run
 * @param sums the digests of the sender's buckets
 * @param answerWanted whether the receiver shall send its digests too
 */
public record DigestComparison(long identifier, List<Long> sums, boolean answerWanted)
    implements PeerMessage {

  /** Checks and copies the digests. */
  public DigestComparison {
    Preconditions.require(sums.size() == BucketDigests.BUCKETS, "sums", "has a wrong size");
    sums = List.copyOf(sums);
  }
}
