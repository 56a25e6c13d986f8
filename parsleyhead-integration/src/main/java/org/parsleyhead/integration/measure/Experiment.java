package org.parsleyhead.integration.measure;

/** Measures something on this machine and adds its figures to a report. */
@FunctionalInterface
public interface Experiment {

  /** Runs the experiment. */
  void run(MeasureOptions options, Report report);
}
