package org.parsleyhead.core.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A fake clock with scheduled actions and a seeded random generator. Equal seeds produce equal
 * runs. Not thread-safe.
 */
public final class FakeTimeline {

  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private record ScheduledAction(long at, long sequence, Runnable action) {}

  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::at)
              .thenComparingLong(ScheduledAction::sequence));
  private final SplittableRandom random;
  private long now;
  private long sequence;

  /** Creates a timeline with the seed of its random numbers. */
  public FakeTimeline(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /** Returns the current time in nanoseconds. */
  public long now() {
    return now;
  }

  /** Returns the current time in seconds. */
  public double seconds() {
    return now / 1e9;
  }

  /** Returns the source of all random numbers of the run. */
  public SplittableRandom random() {
    return random;
  }

  /** Returns true with the given probability. */
  public boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  /** Schedules an action after a delay in milliseconds. */
  public void after(double milliseconds, Runnable action) {
    long at = now + (long) (milliseconds * NANOSECONDS_PER_MILLISECOND);
    scheduledActions.add(new ScheduledAction(at, sequence++, action));
  }

  /** Schedules an action at a fixed interval in milliseconds, for the rest of the run. */
  public void every(double milliseconds, Runnable action) {
    after(
        milliseconds,
        () -> {
          action.run();
          every(milliseconds, action);
        });
  }

  /** Advances the clock to a time in seconds and runs all actions due until then. */
  public void runUntil(double seconds) {
    long end = (long) (seconds * 1e9);
    while (!scheduledActions.isEmpty() && scheduledActions.peek().at() <= end) {
      ScheduledAction next = scheduledActions.poll();
      now = next.at();
      next.action().run();
    }
    now = end;
  }
}
