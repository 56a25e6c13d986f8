package org.parsleyhead.standin.proxy;

import java.time.Duration;
import java.util.Locale;
import java.util.OptionalLong;
import org.parsleyhead.standin.StandinException;

/**
 * What a proxy does to the bytes of one direction.
 *
 * <p>Immutable and thread-safe.
 *
 * @param mode whether bytes are passed on
 * @param delay how long each byte waits before it is passed on
 * @param resetAfterBytes after how many further bytes both connections are reset
 */
public record DirectionFault(Mode mode, Duration delay, OptionalLong resetAfterBytes) {

  /** Passes everything on at once. */
  public static final DirectionFault NONE = delayed(Duration.ZERO);

  /** Whether bytes are passed on. */
  public enum Mode {
    /** Bytes are passed on. */
    PASS,
    /** Bytes are read and dropped. */
    SWALLOW,
    /** Bytes are not read; they are passed on once the fault is over. */
    HOLD;

    /**
     * Reads a mode in lower case.
     *
     * @throws StandinException if there is no such mode
     */
    static Mode parse(String text) {
      for (Mode mode : values()) {
        if (mode.name().toLowerCase(Locale.ROOT).equals(text)) {
          return mode;
        }
      }
      throw new StandinException(StandinException.BAD_REQUEST, "mode is unknown: " + text);
    }
  }

  /** Returns a fault that only delays. */
  public static DirectionFault delayed(Duration delay) {
    return new DirectionFault(Mode.PASS, delay, OptionalLong.empty());
  }

  /** Returns a fault that resets both connections after a number of bytes. */
  public static DirectionFault resetAfter(long bytes) {
    return new DirectionFault(Mode.PASS, Duration.ZERO, OptionalLong.of(bytes));
  }

  /** Returns a fault that drops all bytes. */
  public static DirectionFault swallow() {
    return new DirectionFault(Mode.SWALLOW, Duration.ZERO, OptionalLong.empty());
  }

  /** Returns a fault that holds all bytes. */
  public static DirectionFault hold() {
    return new DirectionFault(Mode.HOLD, Duration.ZERO, OptionalLong.empty());
  }

  /** Tells whether the end of one connection is passed on to the other. */
  boolean forwardsClose() {
    return mode == Mode.PASS;
  }
}
