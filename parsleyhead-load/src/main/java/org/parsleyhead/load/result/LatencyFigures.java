package org.parsleyhead.load.result;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Histograms of latencies for each group.
 *
 * <p>Thread-safe. Latencies above the highest trackable one count as that one.
 */
public final class LatencyFigures {

  private static final long HIGHEST_NANOSECONDS = TimeUnit.MINUTES.toNanos(10);
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<Key, Histogram> histograms = new ConcurrentHashMap<>();

  /** What is measured. */
  public enum Measure {
    /** From the scheduled time to the first token. */
    FIRST_TOKEN,
    /** Between two parts of a stream. */
    BETWEEN_TOKENS,
    /** From the scheduled time to the end of the answer. */
    TOTAL,
    /** From the scheduled time to the sending. */
    LATENESS
  }

  private record Key(Outcome.Group group, Measure measure) {}

  /** Adds one latency. */
  public void record(Outcome.Group group, Measure measure, long nanoseconds) {
    histograms
        .computeIfAbsent(new Key(group, measure), key -> create())
        .recordValue(Math.max(0, Math.min(HIGHEST_NANOSECONDS, nanoseconds)));
  }

  /** Adds the latencies of an answered request. */
  public void record(Outcome outcome) {
    if (outcome.firstNanoseconds() >= 0) {
      record(outcome.group(), Measure.FIRST_TOKEN, outcome.firstNanoseconds());
    }
    record(outcome.group(), Measure.TOTAL, outcome.totalNanoseconds());
    record(outcome.group(), Measure.LATENESS, outcome.lateNanoseconds());
  }

  /** Returns a percentile in milliseconds; zero if nothing was measured. */
  public double percentile(Outcome.Group group, Measure measure, double percentile) {
    Histogram histogram = histograms.get(new Key(group, measure));
    return histogram == null || histogram.getTotalCount() == 0
        ? 0
        : histogram.getValueAtPercentile(percentile) / 1e6;
  }

  private static Histogram create() {
    return new ConcurrentHistogram(HIGHEST_NANOSECONDS, SIGNIFICANT_DIGITS);
  }
}
