package org.parsleyhead.standin.proxy;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The state of one direction of a proxy connection, which decides what happens to received bytes.
 *
 * <p>Immutable and thread-safe. Forwarded bytes keep their order, even when the delay is reduced.
 *
 * @param fault the active fault
 * @param forwardedBytes how many bytes were forwarded since the fault began
 * @param lastDeliveryTime the time at which the last forwarded bytes are delivered
 */
record DirectionState(DirectionFault fault, long forwardedBytes, MonotonicTime lastDeliveryTime) {

  /** Returns the state of a new connection. */
  static DirectionState initial(DirectionFault fault, MonotonicTime time) {
    return new DirectionState(fault, 0, time);
  }

  /**
   * The decision on received bytes.
   *
   * @param state the next state
   * @param forwardedLength how many of the bytes are forwarded; the others are dropped
   * @param delay the delay before the bytes are forwarded
   * @param reset whether both connections are reset afterwards
   */
  record Decision(DirectionState state, int forwardedLength, Duration delay, boolean reset) {}

  /** Returns the state after a change of the fault. */
  DirectionState withFault(DirectionFault newFault) {
    return new DirectionState(newFault, 0, lastDeliveryTime);
  }

  /** Returns whether bytes are read from the connection. */
  boolean isReading() {
    return fault.mode() != DirectionFault.Mode.HOLD;
  }

  /** Decides what happens to a number of bytes that were received at a time. */
  Decision decide(int length, MonotonicTime time) {
    if (fault.mode() == DirectionFault.Mode.SWALLOW) {
      return new Decision(this, 0, Duration.ZERO, false);
    }
    long remaining = fault.resetAfterBytes().orElse(Long.MAX_VALUE) - forwardedBytes;
    int forwardedLength = (int) Math.min(length, Math.max(0, remaining));
    MonotonicTime deliveryTime = time.plus(fault.delay());
    if (deliveryTime.isBefore(lastDeliveryTime)) {
      deliveryTime = lastDeliveryTime;
    }
    DirectionState next = new DirectionState(fault, forwardedBytes + forwardedLength, deliveryTime);
    return new Decision(next, forwardedLength, deliveryTime.since(time), length >= remaining);
  }
}
