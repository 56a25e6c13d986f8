package org.parsleyhead.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * An independent record of the requests that a fleet admitted, checked against a single token
 * bucket for the whole account. A request counts with the tokens that it used, at the time of its
 * admission.
 */
final class AdmissionLedger {

  private final List<AdmittedRequest> entries = new ArrayList<>();
  private final List<LimitsChange> changes = new ArrayList<>();
  private long offered;
  private long refused;
  private long countedFrom;

  AdmissionLedger(Limits limits) {
    changes.add(new LimitsChange(0, limits, 0));
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
    entries.add(new AdmittedRequest(time, tokens));
  }

  /** Records changed limits that all hosts will have applied by a given time. */
  void changeLimits(long time, Limits limits, long appliedEverywhereAt) {
    changes.add(new LimitsChange(time, limits, appliedEverywhereAt));
  }

  double refusedFraction() {
    return (double) refused / Math.max(1, offered);
  }

  long admittedRequests() {
    return entries.size();
  }

  /**
   * Returns the maximum ratio of admitted to allowed tokens over any window; above one if the bound
   * was exceeded.
   */
  double admittedToAllowedRatio() {
    entries.sort(Comparator.comparingLong(AdmittedRequest::time));
    double level = burst(0);
    double maximumRatio = 0;
    long last = 0;
    for (AdmittedRequest entry : entries) {
      level = fill(level, last, entry.time()) - entry.tokens();
      last = entry.time();
      double burst = burst(entry.time());
      maximumRatio = Math.max(maximumRatio, (burst - level) / burst);
    }
    return maximumRatio;
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
        * (1 + FakeHost.MAXIMUM_DRIFT);
  }

  private double burst(long time) {
    return inForce(time).mapToLong(change -> change.limits().burstTokens()).max().orElse(0);
  }

  /** Returns the limits that any host may still apply at a given time. */
  private java.util.stream.Stream<LimitsChange> inForce(long time) {
    int first = 0;
    for (int index = 0; index < changes.size(); index++) {
      if (changes.get(index).appliedEverywhereAt() <= time) {
        first = index;
      }
    }
    return changes.subList(first, changes.size()).stream()
        .filter(change -> change.time() <= time + FakeFleet.SECOND);
  }

  private record AdmittedRequest(long time, long tokens) {}

  private record LimitsChange(long time, Limits limits, long appliedEverywhereAt) {}
}
