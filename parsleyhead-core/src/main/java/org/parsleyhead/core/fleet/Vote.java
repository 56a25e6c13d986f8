package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * A vote for the owner of an instance. It binds the voter until an instant by which the owner is
 * certain to have stopped sending orders and the lease gap has passed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param holder the endpoint of the host that received the vote
 * @param boundUntil the instant until which no other host can receive the vote
 */
record Vote(String holder, MonotonicTime boundUntil) {

  boolean availableTo(String claimant, MonotonicTime time) {
    return holder.equals(claimant) || !time.isBefore(boundUntil);
  }
}
