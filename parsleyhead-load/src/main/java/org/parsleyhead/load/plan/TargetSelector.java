package org.parsleyhead.load.plan;

import java.time.Duration;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.load.settings.LoadSettings;
import org.parsleyhead.load.settings.LoadSettings.TrafficProfile;

/** Selects the target of a request. Implementations are pure functions. */
@FunctionalInterface
public interface TargetSelector {

  /**
   * Returns the target of a request with a sequence number and a time since the start of the run.
   */
  Endpoint select(TrafficProfile traffic, long number, Duration time);

  /** Returns the selector for the configured target choice. */
  static TargetSelector of(LoadSettings settings) {
    int count = settings.targets().size();
    TargetIndex index =
        switch (settings.targetChoice()) {
          case EVEN -> (traffic, number, time) -> number;
          case SKEWED -> (traffic, number, time) -> traffic.account().hashCode();
          case MOVING ->
              (traffic, number, time) ->
                  traffic.account().hashCode()
                      + time.toNanos() / settings.movingInterval().toNanos();
        };
    return (traffic, number, time) ->
        settings.targets().get((int) Math.floorMod(index.of(traffic, number, time), (long) count));
  }

  /** Returns the target that follows another one in the list, for the next attempt of a request. */
  static Endpoint targetAfter(LoadSettings settings, Endpoint target) {
    int index = settings.targets().indexOf(target);
    return settings.targets().get((index + 1) % settings.targets().size());
  }

  /** Computes the number that determines the target. */
  @FunctionalInterface
  interface TargetIndex {

    /**
     * Returns any number; its remainder modulo the number of targets is the index of the target.
     */
    long of(TrafficProfile traffic, long number, Duration time);
  }
}
