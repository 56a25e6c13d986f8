package org.parsleyhead.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The independent record of what a fleet admitted, checked against one token bucket of the whole
 * account. A request counts with the tokens that it used, at the instant of its admission.
 */
final class AdmissionLedger {

  private final List<Entry> entries = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private long offered;
  private long refused;
  private long countedFrom;

  AdmissionLedger(Limits limits) {
    changes.add(new Change(0, limits, 0));
  }

  void countFrom(long time) {
    countedFrom = time;
  }

  void offered(long time) {
    offered += time >= countedFrom ? 1 : 0;
  }

  void refused(long time) {
    refused += time >= countedFrom ? 1 : 0;
  }

  void admitted(long time, long tokens) {
    entries.add(new Entry(time, tokens));
  }

  /** Notes other limits, of which all hosts will have heard at an instant. */
  void limit(long time, Limits limits, long heardAt) {
    changes.add(new Change(time, limits, heardAt));
  }

  double refusedShare() {
    return (double) refused / Math.max(1, offered);
  }

  long admittedRequests() {
    return entries.size();
  }

  /**
   * Returns the greatest share of the allowance that was taken over any window: above one if the
   * bound was broken.
   */
  double admittedOverAllowed() {
    entries.sort(Comparator.comparingLong(Entry::time));
    double level = burst(0);
    double worst = 0;
    long last = 0;
    for (Entry entry : entries) {
      level = fill(level, last, entry.time()) - entry.tokens();
      last = entry.time();
      double burst = burst(entry.time());
      worst = Math.max(worst, (burst - level) / burst);
    }
    return worst;
  }

  private double fill(double level, long from, long until) {
    double filled = level;
    long at = from;
    while (at < until) {
      long next = Math.min(until, at + FakeFleet.SECOND);
      filled += rate(at) * (next - at) / FakeFleet.SECOND;
      filled = Math.min(filled, burst(next));
      at = next;
    }
    return filled;
  }

  private double rate(long time) {
    return inForce(time).mapToLong(change -> change.limits().tokensPerSecond()).max().orElse(0)
        * (1 + FakeHost.FASTEST_DRIFT);
  }

  private double burst(long time) {
    return inForce(time).mapToLong(change -> change.limits().burstTokens()).max().orElse(0);
  }

  /** Returns the limits that some host may still act on. */
  private java.util.stream.Stream<Change> inForce(long time) {
    int first = 0;
    for (int index = 0; index < changes.size(); index++) {
      if (changes.get(index).heardAt() <= time) {
        first = index;
      }
    }
    return changes.subList(first, changes.size()).stream()
        .filter(change -> change.time() <= time + FakeFleet.SECOND);
  }

  private record Entry(long time, long tokens) {}

  private record Change(long time, Limits limits, long heardAt) {}
}
