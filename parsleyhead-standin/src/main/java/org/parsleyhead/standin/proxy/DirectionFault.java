package org.parsleyhead.standin.proxy;

import java.time.Duration;
import java.util.Locale;
import java.util.OptionalLong;
import org.parsleyhead.standin.StandinException;

/**
 * The fault that a proxy injects in one direction of a connection.
 *
 * <p>Immutable and thread-safe.
 *
 * @param mode whether bytes are forwarded, dropped or held
 * @param delay how long bytes are delayed before they are forwarded
 * @param resetAfterBytes the number of further bytes after which both connections are reset
 */
public record DirectionFault(Mode mode, Duration delay, OptionalLong resetAfterBytes) {

  /** Forwards all bytes without a delay. */
  public static final DirectionFault NONE = delayed(Duration.ZERO);

  /** Whether bytes are forwarded, dropped or held. */
  public enum Mode {
    /** Bytes are forwarded. */
    PASS,
    /** Bytes are read and dropped. */
    SWALLOW,
    /** Bytes are not read until the fault ends, then they are forwarded. */
    HOLD;

    /**
     * Parses the name of a mode, which is in lower case.
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

  /** Returns a fault that only delays bytes. */
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

  /** Returns a fault that holds all bytes until it ends. */
  public static DirectionFault hold() {
    return new DirectionFault(Mode.HOLD, Duration.ZERO, OptionalLong.empty());
  }

  /** Returns whether the close of one connection is forwarded to the other. */
  boolean forwardsClose() {
    return mode == Mode.PASS;
  }
}
