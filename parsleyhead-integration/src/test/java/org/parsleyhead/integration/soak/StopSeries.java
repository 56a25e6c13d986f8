package org.parsleyhead.integration.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Planned stops of all hosts in random order, the next before the one before is back. At least one
 * host is not being stopped.
 *
 * <p>Confined to one thread; the stops run on threads of their own.
 */
final class StopSeries {

  /** Below the time that a stop takes, so that stops overlap. */
  private static final int MAXIMUM_INTERVAL_MILLISECONDS = 1_500;

  private static final int MAXIMUM_CONCURRENT_STOPS = 6;
  private static final long MAXIMUM_SECONDS_PER_HOST = 60;

  private final List<SoakFleet.Host> order;
  private final Random draw;
  private final Consumer<SoakFleet.Host> stopAndRestart;

  /**
   * Creates a series that has not begun.
   *
   * @param stopAndRestart stops a host and returns once it is back
   */
  StopSeries(List<SoakFleet.Host> hosts, Random draw, Consumer<SoakFleet.Host> stopAndRestart) {
    this.order = new ArrayList<>(hosts);
    this.draw = draw;
    this.stopAndRestart = stopAndRestart;
    Collections.shuffle(order, draw);
  }

  /** Stops each host once and returns when all are back. */
  void run() throws InterruptedException {
    int concurrent = Math.min(MAXIMUM_CONCURRENT_STOPS, order.size() - 1);
    ExecutorService executor = Executors.newFixedThreadPool(concurrent);
    for (SoakFleet.Host host : order) {
      executor.execute(() -> stopAndRestart.accept(host));
      SoakFaults.sleep(draw.nextInt(MAXIMUM_INTERVAL_MILLISECONDS));
    }
    executor.shutdown();
    executor.awaitTermination(MAXIMUM_SECONDS_PER_HOST * order.size(), TimeUnit.SECONDS);
  }
}
