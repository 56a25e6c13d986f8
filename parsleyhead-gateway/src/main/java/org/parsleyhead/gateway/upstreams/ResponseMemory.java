package org.parsleyhead.gateway.upstreams;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the bytes of responses that all attempts buffer together.
 *
 * <p>Confined to the event loop. An attempt whose caller has nothing yet can be ended: when the
 * limit is exceeded, the one that buffers the most is named, so that servers that send without end
 * do not take the memory of small responses. A stream of which its caller has a part is not ended
 * but paused; such streams have a share of the limit, and what exceeds it, as told at {@link
 * StreamMemory}, does not count against the others.
 */
final class ResponseMemory {

  private final long limitBytes;
  private final long streamShareBytes;
  private final StreamMemory streams;
  private final Map<UpstreamAttempt, Integer> buffered = new HashMap<>();
  private long endableBytes;

  /**
   * Creates an empty memory.
   *
   * @param limitBytes the maximum number of buffered bytes
   * @param streamShareBytes the part of it that streams may use of which their callers have a part
   */
  ResponseMemory(long limitBytes, long streamShareBytes) {
    this.limitBytes = limitBytes;
    this.streamShareBytes = streamShareBytes;
    this.streams = new StreamMemory(streamShareBytes);
  }

  /**
   * Records how many bytes an attempt buffers whose caller has nothing of the response yet.
   *
   * @return the attempt that has to end because the limit is exceeded; empty if there is room
   */
  Optional<UpstreamAttempt> update(UpstreamAttempt attempt, int bytes) {
    record(attempt, bytes);
    return largestIfFull();
  }

  /**
   * Records how many bytes of an incomplete event a stream buffers of which its caller has a part;
   * pauses streams, or resumes them.
   *
   * @param eventEnded whether an event was completed since the last time
   * @return the attempt that has to end because the limit is exceeded; empty if there is room
   */
  Optional<UpstreamAttempt> updateStream(
      UpstreamAttempt attempt, EventStream stream, boolean eventEnded) {
    record(attempt, 0);
    streams.update(stream, stream.pendingBytes(), eventEnded);
    return largestIfFull();
  }

  /** Resumes a paused stream if there is room, since its caller has room. */
  void callerReads() {
    streams.resumePaused();
  }

  /** Releases the bytes of an attempt that has ended. */
  void release(UpstreamAttempt attempt, EventStream stream) {
    record(attempt, 0);
    streams.update(stream, 0, true);
  }

  /** Returns the number of buffered bytes. */
  long totalBytes() {
    return endableBytes + streams.totalBytes();
  }

  private void record(UpstreamAttempt attempt, int bytes) {
    Integer former = bytes == 0 ? buffered.remove(attempt) : buffered.put(attempt, bytes);
    endableBytes += bytes - (former == null ? 0 : former);
  }

  private Optional<UpstreamAttempt> largestIfFull() {
    long usedByStreams = Math.min(streams.totalBytes(), streamShareBytes);
    return endableBytes + usedByStreams <= limitBytes
        ? Optional.empty()
        : buffered.entrySet().stream()
            .max(Comparator.comparingInt(Map.Entry::getValue))
            .map(Map.Entry::getKey);
  }
}
