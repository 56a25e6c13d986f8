package org.parsleyhead.core.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** A fake clock with planned actions. Equal seeds give equal runs. Not thread-safe. */
public final class FakeTimeline {

  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private record Planned(long at, long sequence, Runnable action) {}

  private final PriorityQueue<Planned> planned =
      new PriorityQueue<>(
          Comparator.comparingLong(Planned::at).thenComparingLong(Planned::sequence));
  private final SplittableRandom random;
  private long now;
  private long sequence;

  /** Creates a timeline with its seed. */
  public FakeTimeline(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /** Returns the true time in nanoseconds. */
  public long now() {
    return now;
  }

  /** Returns the true time in seconds. */
  public double seconds() {
    return now / 1e9;
  }

  /** Returns the source of all random numbers of the run. */
  public SplittableRandom random() {
    return random;
  }

  /** Tells whether something with a probability happens. */
  public boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  /** Plans an action after a number of milliseconds. */
  public void after(double milliseconds, Runnable action) {
    long at = now + (long) (milliseconds * NANOSECONDS_PER_MILLISECOND);
    planned.add(new Planned(at, sequence++, action));
  }

  /** Repeats an action for the rest of the run. */
  public void every(double milliseconds, Runnable action) {
    after(
        milliseconds,
        () -> {
          action.run();
          every(milliseconds, action);
        });
  }

  /** Runs all actions up to a time in seconds. */
  public void runUntil(double seconds) {
    long end = (long) (seconds * 1e9);
    while (!planned.isEmpty() && planned.peek().at() <= end) {
      Planned next = planned.poll();
      now = next.at();
      next.action().run();
    }
    now = end;
  }
}
