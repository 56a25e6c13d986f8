package org.parsleyhead.load.result;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Latency histograms for each group of requests.
 *
 * <p>Thread-safe. Latencies above the trackable maximum are recorded as that maximum.
 */
public final class LatencyHistograms {

  private static final long MAXIMUM_TRACKABLE_NANOSECONDS = TimeUnit.MINUTES.toNanos(10);
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<Key, Histogram> histograms = new ConcurrentHashMap<>();

  /** The measured latencies. */
  public enum LatencyMetric {
    /** From the scheduled time to the first token. */
    FIRST_TOKEN,
    /** Between two consecutive parts of a streamed response. */
    INTER_TOKEN,
    /** From the scheduled time to the end of the response. */
    TOTAL,
    /** From the scheduled time to the actual time of sending. */
    SEND_DELAY
  }

  private record Key(Outcome.Group group, LatencyMetric metric) {}

  /** Records a latency in nanoseconds. */
  public void record(Outcome.Group group, LatencyMetric metric, long nanoseconds) {
    histograms
        .computeIfAbsent(new Key(group, metric), key -> create())
        .recordValue(Math.max(0, Math.min(MAXIMUM_TRACKABLE_NANOSECONDS, nanoseconds)));
  }

  /** Records the latencies of an answered request. */
  public void record(Outcome outcome) {
    if (outcome.firstTokenNanoseconds() >= 0) {
      record(outcome.group(), LatencyMetric.FIRST_TOKEN, outcome.firstTokenNanoseconds());
    }
    record(outcome.group(), LatencyMetric.TOTAL, outcome.totalNanoseconds());
    record(outcome.group(), LatencyMetric.SEND_DELAY, outcome.sendDelayNanoseconds());
  }

  /** Returns a percentile in milliseconds; zero if no latency was recorded. */
  public double percentile(Outcome.Group group, LatencyMetric metric, double percentile) {
    Histogram histogram = histograms.get(new Key(group, metric));
    return histogram == null || histogram.getTotalCount() == 0
        ? 0
        : histogram.getValueAtPercentile(percentile) / 1e6;
  }

  private static Histogram create() {
    return new ConcurrentHistogram(MAXIMUM_TRACKABLE_NANOSECONDS, SIGNIFICANT_DIGITS);
  }
}
