package org.parsleyhead.integration.measure;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.parsleyhead.integration.fleet.StandinClient;

/**
 * A load change or a fault in the middle of a run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the scenario
 * @param loadChange changes the settings of the load
 * @param injectFault injects the fault after the warm-up
 * @param clearFault clears the fault at the end of the run
 */
record Scenario(
    String name,
    UnaryOperator<LoadText> loadChange,
    Consumer<StandinClient> injectFault,
    Consumer<StandinClient> clearFault) {

  /** Start of a load change, as a share of the duration of the run. */
  private static final double CHANGE_START_SHARE = 0.4;

  /** End of a load change, as a share of the duration of the run. */
  private static final double CHANGE_END_SHARE = 0.8;

  /** Returns a scenario that changes the load in the middle of the run. */
  static Scenario withLoadChange(String name, String lines) {
    return new Scenario(
        name,
        text ->
            text.with(
                "[phase.change]\nstart = \""
                    + text.timeAt(CHANGE_START_SHARE)
                    + "\"\nend = \""
                    + text.timeAt(CHANGE_END_SHARE)
                    + "\"\n"
                    + lines),
        standinClient -> {},
        standinClient -> {});
  }

  /** Returns a scenario that injects a fault under a steady load. */
  static Scenario withFault(
      String name, Consumer<StandinClient> injectFault, Consumer<StandinClient> clearFault) {
    return new Scenario(name, UnaryOperator.identity(), injectFault, clearFault);
  }

  /**
   * The settings of a load.
   *
   * <p>Immutable and thread-safe.
   *
   * @param text the settings in TOML
   * @param duration the duration of the load
   */
  record LoadText(String text, Duration duration) {

    LoadText with(String lines) {
      return new LoadText(text + "\n" + lines + "\n", duration);
    }

    String timeAt(double share) {
      return Math.round(duration.toMillis() * share) + " ms";
    }
  }
}
