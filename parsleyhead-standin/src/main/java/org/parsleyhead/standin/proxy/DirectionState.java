package org.parsleyhead.standin.proxy;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The decisions of a proxy about the bytes of one direction of one connection.
 *
 * <p>Immutable and thread-safe. Passed bytes keep their order, also when the delay shrinks.
 *
 * @param fault the fault in force
 * @param forwardedBytes how many bytes were passed on since it began
 * @param lastDeliveryTime when the last passed bytes are due
 */
record DirectionState(DirectionFault fault, long forwardedBytes, MonotonicTime lastDeliveryTime) {

  /** Returns the state of a new connection. */
  static DirectionState initial(DirectionFault fault, MonotonicTime time) {
    return new DirectionState(fault, 0, time);
  }

  /**
   * What to do with bytes that were read.
   *
   * @param state the state afterwards
   * @param forwardedLength how many of the bytes are passed on; the others are dropped
   * @param delay how long they wait
   * @param reset whether both connections are reset after that
   */
  record Decision(DirectionState state, int forwardedLength, Duration delay, boolean reset) {}

  /** Returns the state under another fault. */
  DirectionState withFault(DirectionFault newFault) {
    return new DirectionState(newFault, 0, lastDeliveryTime);
  }

  /** Tells whether bytes are read at all. */
  boolean isReading() {
    return fault.mode() != DirectionFault.Mode.HOLD;
  }

  /** Decides about a number of bytes read at a time. */
  Decision decide(int length, MonotonicTime time) {
    if (fault.mode() == DirectionFault.Mode.SWALLOW) {
      return new Decision(this, 0, Duration.ZERO, false);
    }
    long allowed = fault.resetAfterBytes().orElse(Long.MAX_VALUE) - forwardedBytes;
    int passedNow = (int) Math.min(length, Math.max(0, allowed));
    MonotonicTime due = time.plus(fault.delay());
    if (due.isBefore(lastDeliveryTime)) {
      due = lastDeliveryTime;
    }
    DirectionState next = new DirectionState(fault, forwardedBytes + passedNow, due);
    return new Decision(next, passedNow, due.since(time), length >= allowed);
  }
}
