package org.parsleyhead.integration.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.parsleyhead.standin.ledger.LedgerEntry;

/**
 * Collects the outcomes of non-idempotent calls at the callers and checks them against the ledger
 * of the upstreams.
 *
 * <p>Thread-safe. A call and its repetition share an idempotency key.
 */
final class CallOutcomes {

  private static final String NOT_RUN = "not_run";

  private final List<Outcome> outcomes = new ArrayList<>();

  /**
   * The outcome of a call at its caller.
   *
   * @param idempotencyKey the idempotency key of the call
   * @param requestIdentifier the identifier that the entry host assigned, empty if there is no
   *     response
   * @param status the HTTP status, zero if there is no response
   * @param result {@code answered}, {@code not_run}, {@code unknown} or {@code none}
   */
  record Outcome(String idempotencyKey, String requestIdentifier, int status, String result) {}

  synchronized void add(Outcome outcome) {
    outcomes.add(outcome);
  }

  /** Returns how often each combination of status and result occurred. */
  synchronized Map<String, Long> counts() {
    Map<String, Long> counts = new TreeMap<>();
    outcomes.forEach(
        outcome -> counts.merge(outcome.status() + " " + outcome.result(), 1L, Long::sum));
    return counts;
  }

  /** Returns the violations of the guarantees for non-idempotent calls. */
  synchronized List<String> findViolations(List<LedgerEntry> ledger) {
    Map<String, List<LedgerEntry>> runs = new HashMap<>();
    Set<String> identifiers = new HashSet<>();
    for (LedgerEntry entry : ledger) {
      entry
          .idempotencyKey()
          .ifPresent(key -> runs.computeIfAbsent(key, absent -> new ArrayList<>()).add(entry));
      entry.requestIdentifier().ifPresent(identifiers::add);
    }
    List<String> violations = new ArrayList<>();
    runs.forEach(
        (key, entries) -> {
          if (entries.size() > 1) {
            violations.add("more than one run of " + key + ": " + entries);
          }
        });
    for (Outcome outcome : outcomes) {
      if (outcome.result().equals(NOT_RUN) && identifiers.contains(outcome.requestIdentifier())) {
        violations.add("ran although reported as not_run: " + outcome);
      }
      if (outcome.result().equals("answered") && !runs.containsKey(outcome.idempotencyKey())) {
        violations.add("answered without a run: " + outcome);
      }
    }
    return violations;
  }
}
