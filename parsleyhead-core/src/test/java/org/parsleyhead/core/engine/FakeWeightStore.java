package org.parsleyhead.core.engine;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/** A weight store that slows down beyond its allowance and records the use of it. */
public final class FakeWeightStore {

  private static final double TRANSFER_MILLISECONDS = 250;
  private static final double WINDOW_SECONDS = 10;

  private final FakeTimeline timeline;
  private final int allowedTransfers;
  private final ArrayDeque<Double> starts = new ArrayDeque<>();
  private double failureProbability;
  private int inFlight;
  private int mostInFlight;
  private int mostStartsInWindow;
  private int transfers;

  /** Creates an idle store. */
  public FakeWeightStore(FakeTimeline timeline, int allowedTransfers) {
    this.timeline = timeline;
    this.allowedTransfers = allowedTransfers;
  }

  /** Lets transfers fail with a probability. */
  public void fail(double probability) {
    failureProbability = probability;
  }

  /** Starts a transfer; the receiver is told whether it succeeded. */
  public void transfer(Consumer<Boolean> ended) {
    inFlight++;
    transfers++;
    mostInFlight = Math.max(mostInFlight, inFlight);
    starts.add(timeline.seconds());
    while (starts.peek() < timeline.seconds() - WINDOW_SECONDS) {
      starts.poll();
    }
    mostStartsInWindow = Math.max(mostStartsInWindow, starts.size());
    double slowdown = Math.max(1, (double) inFlight / allowedTransfers);
    boolean success = !timeline.chance(failureProbability);
    timeline.after(
        TRANSFER_MILLISECONDS * slowdown,
        () -> {
          inFlight--;
          ended.accept(success);
        });
  }

  /** Returns the greatest number of transfers in flight at a time. */
  public int mostInFlight() {
    return mostInFlight;
  }

  /** Returns the greatest number of transfers started within ten seconds. */
  public int mostStartsInTenSeconds() {
    return mostStartsInWindow;
  }

  /** Returns the number of transfers. */
  public int transfers() {
    return transfers;
  }
}
