package org.parsleyhead.core.placement;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * A server that is cold, and what this host may send to it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param until when the server stops being cold
 * @param settledAt from when an announcement may end the cold time
 * @param share whether this host is one of those that may send to the server
 * @param nextSendAt when this host may send the next request, if it has a share
 */
public record ColdServer(
    MonotonicTime until, MonotonicTime settledAt, boolean share, MonotonicTime nextSendAt) {

  /** Returns whether the server is cold at an instant. */
  boolean coldAt(MonotonicTime time) {
    return time.isBefore(until);
  }

  /** Returns whether this host may send a request now. */
  public boolean permitsSend(MonotonicTime time) {
    return share && !time.isBefore(nextSendAt);
  }

  /** Returns this server after this host has sent a request, at intervals of a duration. */
  ColdServer withSent(Duration interval, MonotonicTime time) {
    return new ColdServer(until, settledAt, share, time.plus(interval));
  }

  /** Returns this server with another share; a new share starts at an instant. */
  ColdServer withShare(boolean next, MonotonicTime startsAt) {
    boolean gained = next && !share;
    return new ColdServer(
        until, settledAt, next, gained && nextSendAt.isBefore(startsAt) ? startsAt : nextSendAt);
  }
}
