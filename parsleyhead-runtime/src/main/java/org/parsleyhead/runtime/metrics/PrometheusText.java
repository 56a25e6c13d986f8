package org.parsleyhead.runtime.metrics;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Renders metrics in the Prometheus text format, sorted by family name.
 *
 * <p>Stateless and thread-safe. Histograms and timers become summaries with quantiles and a count.
 * The sum is omitted because the registry does not keep one.
 */
final class PrometheusText {

  private static final double NANOSECONDS_PER_SECOND = 1_000_000_000.0;
  private static final List<Quantile> QUANTILES =
      List.of(
          new Quantile("0.5", 0.5),
          new Quantile("0.95", 0.95),
          new Quantile("0.99", 0.99),
          new Quantile("1", 1.0));

  private PrometheusText() {}

  static String render(MetricRegistry registry) {
    Map<String, Map<String, Metric>> families = new TreeMap<>();
    registry
        .getMetrics()
        .forEach(
            (key, metric) ->
                families
                    .computeIfAbsent(familyOf(key), family -> new TreeMap<>())
                    .put(labelsOf(key), metric));
    StringBuilder text = new StringBuilder();
    families.forEach((family, members) -> appendFamily(text, family, members));
    return text.toString();
  }

  private static void appendFamily(StringBuilder text, String family, Map<String, Metric> members) {
    Metric first = members.values().iterator().next();
    text.append("# TYPE ").append(family).append(' ').append(typeOf(family, first)).append('\n');
    members.forEach((labels, metric) -> appendMetric(text, family, labels, metric));
  }

  private static String typeOf(String family, Metric metric) {
    if (metric instanceof Histogram || metric instanceof Timer) {
      return "summary";
    }
    return family.endsWith(MetricName.TOTAL_SUFFIX) ? "counter" : "gauge";
  }

  private static void appendMetric(
      StringBuilder text, String family, String labels, Metric metric) {
    if (metric instanceof Timer timer) {
      appendSummary(text, family, labels, timer.getSnapshot(), NANOSECONDS_PER_SECOND);
      appendSample(text, family + "_count", labels, timer.getCount());
    } else if (metric instanceof Histogram histogram) {
      appendSummary(text, family, labels, histogram.getSnapshot(), 1.0);
      appendSample(text, family + "_count", labels, histogram.getCount());
    } else if (metric instanceof Counting counting) {
      appendSample(text, family, labels, counting.getCount());
    } else if (metric instanceof Gauge<?> gauge && gauge.getValue() instanceof Number number) {
      appendSample(text, family, labels, number);
    }
  }

  private static void appendSummary(
      StringBuilder text, String family, String labels, Snapshot snapshot, double unit) {
    for (Quantile quantile : QUANTILES) {
      String label = "quantile=\"" + quantile.label() + "\"";
      String all = labels.isEmpty() ? label : labels + "," + label;
      appendSample(text, family, all, snapshot.getValue(quantile.fraction()) / unit);
    }
  }

  private static void appendSample(StringBuilder text, String family, String labels, Number value) {
    text.append(family);
    if (!labels.isEmpty()) {
      text.append('{').append(labels).append('}');
    }
    text.append(' ').append(value).append('\n');
  }

  private static String familyOf(String key) {
    int brace = key.indexOf('{');
    return brace < 0 ? key : key.substring(0, brace);
  }

  private static String labelsOf(String key) {
    int brace = key.indexOf('{');
    return brace < 0 ? "" : key.substring(brace + 1, key.length() - 1);
  }

  /** A quantile with its label. */
  private record Quantile(String label, double fraction) {}
}
