package org.parsleyhead.integration.measure;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.parsleyhead.integration.fleet.Platform;

/**
 * A change of load or a fault in the middle of a run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name its name
 * @param phases appends lines to the settings of the load, given the duration in seconds
 * @param fault what happens when the measured part begins
 * @param end what happens at the end of the run
 */
record Scenario(
    String name, UnaryOperator<LoadText> phases, Consumer<Platform> fault, Consumer<Platform> end) {

  /** A share of the run that a change of the load lasts. */
  private static final double MIDDLE_START = 0.4;

  private static final double MIDDLE_END = 0.8;

  /** Returns a change of the load in the middle of the run. */
  static Scenario load(String name, String lines) {
    return new Scenario(
        name,
        text ->
            text.with(
                "[phase.change]\nstart = \""
                    + text.at(MIDDLE_START)
                    + "\"\nend = \""
                    + text.at(MIDDLE_END)
                    + "\"\n"
                    + lines),
        platform -> {},
        platform -> {});
  }

  /** Returns a fault under a steady load. */
  static Scenario fault(String name, Consumer<Platform> fault, Consumer<Platform> end) {
    return new Scenario(name, UnaryOperator.identity(), fault, end);
  }

  /**
   * The settings of a load.
   *
   * <p>Immutable and thread-safe.
   *
   * @param text the settings in TOML
   * @param duration how long the load lasts
   */
  record LoadText(String text, Duration duration) {

    LoadText with(String lines) {
      return new LoadText(text + "\n" + lines + "\n", duration);
    }

    String at(double share) {
      return Math.round(duration.toMillis() * share) + " ms";
    }
  }
}
