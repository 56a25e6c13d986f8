package org.parsleyhead.integration.measure;

import java.util.List;
import java.util.function.IntFunction;

/**
 * Runs the benchmarks of the cores, without sockets, for growing numbers of adapters, hosts, client
 * accounts and engines.
 *
 * <p>Stateless and thread-safe.
 */
final class CapacityExperiment implements Experiment {

  private static final int CELL_SIZE = 6;
  private static final int WARM_UPS = 5;
  private static final int LARGEST_CELL = 9;

  @Override
  public void run(MeasureOptions options, Report report) {
    boolean quick = options.isQuick();
    measure(
        report,
        quick ? List.of(3_000, 20_000) : List.of(3_000, 10_000, 30_000, 86_000),
        CatalogueBenchmark::measure);
    measure(
        report,
        quick ? List.of(6, 60) : List.of(6, 12, 24, 60, 120, 360),
        hosts -> MembershipBenchmark.measure(hosts, CELL_SIZE));
    measure(
        report,
        quick ? List.of(60) : List.of(60, 360),
        hosts -> MembershipBenchmark.measure(hosts, LARGEST_CELL));
    measure(report, quick ? List.of(5, 500) : List.of(5, 50, 500, 5_000), QuotaBenchmark::measure);
    List<Integer> engines = quick ? List.of(12, 200) : List.of(12, 120, 200, 1_200, 12_000);
    measure(report, engines, EngineBenchmark::measureOwnership);
    measure(report, engines, EngineBenchmark::measureScheduling);
  }

  /**
   * Measures each size after warm-up runs of the smallest one, in which the virtual machine
   * compiles the code.
   */
  private static void measure(
      Report report, List<Integer> sizes, IntFunction<ReportRow> benchmark) {
    for (int count = 0; count < WARM_UPS; count++) {
      benchmark.apply(sizes.get(0));
    }
    sizes.forEach(size -> report.add(benchmark.apply(size)));
  }
}
