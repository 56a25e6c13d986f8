package org.parsleyhead.load.result;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A time series plot with a resolution of one second: the 95th percentile of the time to the first
 * token for each traffic class, and the number of requests that were not answered.
 *
 * <p>Immutable and thread-safe.
 */
public final class TimeSeriesPlot {

  private static final int WIDTH = 900;
  private static final int HEIGHT = 360;
  private static final int MARGIN = 50;
  private static final double PERCENTILE = 0.95;
  private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;
  private static final String[] COLOURS = {"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#8c564b"};

  private final Map<String, TreeMap<Long, Double>> series;

  private TimeSeriesPlot(Map<String, TreeMap<Long, Double>> series) {
    this.series = series;
  }

  /** Creates a plot of the outcomes of a run. */
  public static TimeSeriesPlot of(List<Outcome> outcomes) {
    Map<String, TreeMap<Long, List<Long>>> firstTokenTimes = new TreeMap<>();
    TreeMap<Long, Double> unanswered = new TreeMap<>();
    for (Outcome outcome : outcomes) {
      long second = outcome.dueNanoseconds() / NANOSECONDS_PER_SECOND;
      unanswered.merge(
          second, outcome.result() == Outcome.RequestResult.ANSWERED ? 0.0 : 1.0, Double::sum);
      if (outcome.firstTokenNanoseconds() >= 0) {
        firstTokenTimes
            .computeIfAbsent(outcome.group().trafficClass(), name -> new TreeMap<>())
            .computeIfAbsent(second, key -> new ArrayList<>())
            .add(outcome.firstTokenNanoseconds());
      }
    }
    Map<String, TreeMap<Long, Double>> series = new TreeMap<>();
    firstTokenTimes.forEach(
        (name, seconds) -> series.put(name + " first token p95 (ms)", percentiles(seconds)));
    series.put("not answered (requests)", unanswered);
    return new TimeSeriesPlot(series);
  }

  private static TreeMap<Long, Double> percentiles(TreeMap<Long, List<Long>> seconds) {
    TreeMap<Long, Double> percentiles = new TreeMap<>();
    seconds.forEach(
        (second, values) -> {
          List<Long> sorted = values.stream().sorted().toList();
          int index = (int) Math.min(sorted.size() - 1.0, PERCENTILE * sorted.size());
          percentiles.put(second, sorted.get(index) / 1e6);
        });
    return percentiles;
  }

  /** Returns the plot as an SVG document. */
  public String svg() {
    long lastSecond =
        series.values().stream()
            .filter(line -> !line.isEmpty())
            .mapToLong(TreeMap::lastKey)
            .max()
            .orElse(0);
    double highest =
        series.values().stream()
            .flatMap(line -> line.values().stream())
            .mapToDouble(Double::doubleValue)
            .max()
            .orElse(0);
    StringBuilder svg = new StringBuilder();
    svg.append(
        String.format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
                + "font-family=\"sans-serif\" font-size=\"12\">%n"
                + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
            WIDTH, HEIGHT));
    appendAxes(svg, lastSecond, highest);
    int index = 0;
    for (Map.Entry<String, TreeMap<Long, Double>> line : series.entrySet()) {
      appendLine(svg, line, index, Math.max(1, lastSecond), Math.max(1, highest));
      index++;
    }
    return svg.append("</svg>\n").toString();
  }

  private static void appendAxes(StringBuilder svg, long lastSecond, double highest) {
    svg.append(
        String.format(
            "<path d=\"M%d %dV%dH%d\" stroke=\"black\" fill=\"none\"/>%n",
            MARGIN, MARGIN, HEIGHT - MARGIN, WIDTH - MARGIN));
    appendText(svg, MARGIN - 45, MARGIN, String.format(Locale.ROOT, "%.0f", highest), "black");
    appendText(svg, MARGIN - 15, HEIGHT - MARGIN, "0", "black");
    appendText(svg, WIDTH - MARGIN, HEIGHT - MARGIN + 20, lastSecond + " s", "black");
  }

  private static void appendLine(
      StringBuilder svg,
      Map.Entry<String, TreeMap<Long, Double>> line,
      int index,
      long lastSecond,
      double highest) {
    String colour = COLOURS[index % COLOURS.length];
    StringBuilder points = new StringBuilder();
    line.getValue()
        .forEach(
            (second, value) ->
                points.append(
                    String.format(
                        Locale.ROOT,
                        "%.1f,%.1f ",
                        MARGIN + (WIDTH - 2.0 * MARGIN) * second / lastSecond,
                        HEIGHT - MARGIN - (HEIGHT - 2.0 * MARGIN) * value / highest)));
    svg.append(
        String.format(
            "<polyline points=\"%s\" stroke=\"%s\" fill=\"none\"/>%n",
            points.toString().strip(), colour));
    appendText(svg, MARGIN + 10, MARGIN - 30 + 14 * index, line.getKey(), colour);
  }

  private static void appendText(
      StringBuilder svg, int horizontal, int vertical, String text, String colour) {
    svg.append(
        String.format(
            "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n",
            horizontal, vertical, colour, text.replace("&", "&amp;").replace("<", "&lt;")));
  }
}
