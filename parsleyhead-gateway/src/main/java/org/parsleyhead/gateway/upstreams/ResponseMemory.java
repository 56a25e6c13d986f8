package org.parsleyhead.gateway.upstreams;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the bytes of responses that all attempts buffer together.
 *
 * <p>Confined to the event loop. When the limit is exceeded, the attempt that buffers the most is
 * named, so that servers that send without end do not take the memory of small responses.
 */
final class ResponseMemory {

  private final long limitBytes;
  private final Map<UpstreamAttempt, Integer> buffered = new HashMap<>();
  private long totalBytes;

  /**
   * Creates an empty memory.
   *
   * @param limitBytes the maximum number of buffered bytes
   */
  ResponseMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Records how many bytes an attempt buffers.
   *
   * @return the attempt that has to end because the limit is exceeded; empty if there is room
   */
  Optional<UpstreamAttempt> update(UpstreamAttempt attempt, int bytes) {
    Integer former = bytes == 0 ? buffered.remove(attempt) : buffered.put(attempt, bytes);
    totalBytes += bytes - (former == null ? 0 : former);
    return totalBytes <= limitBytes
        ? Optional.empty()
        : buffered.entrySet().stream()
            .max(Comparator.comparingInt(Map.Entry::getValue))
            .map(Map.Entry::getKey);
  }

  /** Returns the number of buffered bytes. */
  long totalBytes() {
    return totalBytes;
  }
}
