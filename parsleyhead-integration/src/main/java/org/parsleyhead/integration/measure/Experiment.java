package org.parsleyhead.integration.measure;

/** A measurement on this machine that adds its results to a report. */
@FunctionalInterface
public interface Experiment {

  /**
   * Runs the experiment.
   *
   * @param options the options of the command line
   * @param report receives a row for each result
   */
  void run(MeasureOptions options, Report report);
}
