package org.parsleyhead.gateway.upstreams;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Bounds the bytes of incomplete events that the streams buffer of which their callers have a part.
 *
 * <p>Confined to the event loop. Such a stream is never ended for its memory; it is not read until
 * there is room. While the share is exceeded, a stream whose event is incomplete is paused, but up
 * to {@value #MAXIMUM_PERMITS} streams, the one that has waited longest first, have a permit to be
 * read until the event is complete, so that memory is released again whatever all others hold. The
 * streams together buffer at most the share, one event for each permit, and what was read at once
 * from each stream before it was paused. A server that is silent within an event keeps its permit
 * until its attempt ends; a stream whose caller does not read gets none.
 */
final class StreamMemory {

  /** The number of streams that are read although the share is exceeded. */
  static final int MAXIMUM_PERMITS = 4;

  private final long shareBytes;
  private final Map<EventStream, Integer> buffered = new HashMap<>();
  private final Set<EventStream> permits = new HashSet<>();
  private final Set<EventStream> paused = new LinkedHashSet<>();
  private long totalBytes;

  /** Creates an empty memory. */
  StreamMemory(long shareBytes) {
    this.shareBytes = shareBytes;
  }

  /**
   * Records how many bytes of an incomplete event a stream buffers.
   *
   * @param eventEnded whether an event was completed since the last time, or the attempt ended
   */
  void update(EventStream stream, int bytes, boolean eventEnded) {
    Integer former = bytes == 0 ? buffered.remove(stream) : buffered.put(stream, bytes);
    totalBytes += bytes - (former == null ? 0 : former);
    if (eventEnded) {
      permits.remove(stream);
    }
    if (bytes == 0) {
      if (paused.remove(stream)) {
        stream.resumeForMemory();
      }
    } else if (totalBytes > shareBytes && !permits.contains(stream) && paused.add(stream)) {
      stream.pauseForMemory();
    }
    resumePaused();
  }

  /** Returns the number of buffered bytes. */
  long totalBytes() {
    return totalBytes;
  }

  /** Resumes the streams for which there is room, and whose callers have room. */
  void resumePaused() {
    boolean exceeded = totalBytes > shareBytes;
    if (!exceeded) {
      permits.clear();
    }
    Iterator<EventStream> longestWaitFirst = paused.iterator();
    while (longestWaitFirst.hasNext() && (!exceeded || permits.size() < MAXIMUM_PERMITS)) {
      EventStream next = longestWaitFirst.next();
      if (next.waitsForCaller()) {
        continue;
      }
      longestWaitFirst.remove();
      if (exceeded) {
        permits.add(next);
      }
      next.resumeForMemory();
    }
  }
}
