package org.parsleyhead.core.fleet;

import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The state of the heartbeats between this host and another one.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nextAt when the next heartbeat to the host is due
 * @param reportedDigest the membership digest in its last heartbeat
 * @param confirmedAt when its membership digest last equalled the one of this host
 * @param answer the answer to its last heartbeat that the next one to it carries
 */
record HeartbeatExchange(
    MonotonicTime nextAt,
    long reportedDigest,
    MonotonicTime confirmedAt,
    Optional<HeartbeatAnswer> answer) {

  /** Returns the state before any heartbeat, with the first one due. */
  static HeartbeatExchange due(MonotonicTime time) {
    return new HeartbeatExchange(time, 0, new MonotonicTime(Long.MIN_VALUE / 2), Optional.empty());
  }

  HeartbeatExchange withSent(MonotonicTime next) {
    return new HeartbeatExchange(next, reportedDigest, confirmedAt, Optional.empty());
  }

  /** Returns this state after a heartbeat that reports the same membership as this host has. */
  HeartbeatExchange withConfirmation(long digest, MonotonicTime time) {
    return new HeartbeatExchange(nextAt, digest, time, answer);
  }

  /** Returns this state after a heartbeat that reports another membership. */
  HeartbeatExchange withDifference(long digest) {
    return new HeartbeatExchange(nextAt, digest, confirmedAt, answer);
  }

  /** Returns this state with an answer that a heartbeat carries as soon as possible. */
  HeartbeatExchange withAnswerDue(HeartbeatAnswer next, MonotonicTime time) {
    return new HeartbeatExchange(time, reportedDigest, confirmedAt, Optional.of(next));
  }
}
