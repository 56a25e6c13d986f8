package org.parsleyhead.standin.engine;

import java.time.Duration;

/** Settings of an engine with two adapter slots and a batch of three requests, for tests. */
final class EngineSettingsFixture {

  private EngineSettingsFixture() {}

  static EngineSettings settings(boolean checksFencing, double loadFailureRate) {
    return new EngineSettings(
        "base",
        new EngineSettings.Limits(2, 3, 10_000, 64),
        new EngineSettings.Timing(
            Duration.ofMillis(10),
            Duration.ofMillis(1),
            Duration.ofMillis(2),
            Duration.ofNanos(10_000)),
        new EngineSettings.Faults(
            checksFencing,
            Duration.ofMillis(100),
            5,
            4,
            loadFailureRate,
            0,
            Duration.ofMillis(1),
            1));
  }
}
