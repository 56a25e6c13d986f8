package org.parsleyhead.load.plan;

import java.time.Duration;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.load.settings.LoadSettings;
import org.parsleyhead.load.settings.LoadSettings.Traffic;

/** Chooses the target of a request. Implementations are pure. */
@FunctionalInterface
public interface TargetSelector {

  /** Returns the target of the request with a number at a time from the start of the run. */
  Endpoint select(Traffic traffic, long number, Duration time);

  /** Returns the selector that the settings name. */
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

  /** Returns the target behind one in the list, for a request that is sent again. */
  static Endpoint other(LoadSettings settings, Endpoint target) {
    int index = settings.targets().indexOf(target);
    return settings.targets().get((index + 1) % settings.targets().size());
  }

  /** Gives a number from which the target follows. */
  @FunctionalInterface
  interface TargetIndex {

    /** Returns any number; the target is the remainder by the number of targets. */
    long of(Traffic traffic, long number, Duration time);
  }
}
