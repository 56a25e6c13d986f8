package org.parsleyhead.core.engine;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * A fake weight store that slows down when more transfers than allowed are in flight, and records
 * its load. Not thread-safe.
 */
public final class FakeWeightStore {

  private static final double TRANSFER_MILLISECONDS = 250;
  private static final double WINDOW_SECONDS = 10;

  private final FakeTimeline timeline;
  private final int allowedTransfers;
  private final ArrayDeque<Double> starts = new ArrayDeque<>();
  private double failureProbability;
  private int inFlight;
  private int maximumInFlight;
  private int maximumStartsInWindow;
  private int transfers;

  /** Creates a store without transfers. */
  public FakeWeightStore(FakeTimeline timeline, int allowedTransfers) {
    this.timeline = timeline;
    this.allowedTransfers = allowedTransfers;
  }

  /** Sets the probability that a transfer fails. */
  public void setFailureProbability(double probability) {
    failureProbability = probability;
  }

  /** Starts a transfer; the callback receives whether it succeeded. */
  public void transfer(Consumer<Boolean> completion) {
    inFlight++;
    transfers++;
    maximumInFlight = Math.max(maximumInFlight, inFlight);
    starts.add(timeline.seconds());
    while (starts.peek() < timeline.seconds() - WINDOW_SECONDS) {
      starts.poll();
    }
    maximumStartsInWindow = Math.max(maximumStartsInWindow, starts.size());
    double slowdown = Math.max(1, (double) inFlight / allowedTransfers);
    boolean success = !timeline.chance(failureProbability);
    timeline.after(
        TRANSFER_MILLISECONDS * slowdown,
        () -> {
          inFlight--;
          completion.accept(success);
        });
  }

  /** Returns the maximum number of transfers that were in flight simultaneously. */
  public int maximumInFlight() {
    return maximumInFlight;
  }

  /** Returns the maximum number of transfers started within ten seconds. */
  public int maximumStartsInTenSeconds() {
    return maximumStartsInWindow;
  }

  /** Returns the total number of transfers started. */
  public int transfers() {
    return transfers;
  }
}
