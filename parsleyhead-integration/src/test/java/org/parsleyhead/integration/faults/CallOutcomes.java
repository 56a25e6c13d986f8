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
 * What callers were told of their calls, compared with the ledger of the upstreams.
 *
 * <p>Thread-safe. Calls that repeat each other share an idempotency key.
 */
final class CallOutcomes {

  private static final String NOT_RUN = "not_run";

  private final List<Told> told = new ArrayList<>();

  /**
   * What a caller was told.
   *
   * @param idempotencyKey the key of the call
   * @param requestIdentifier the identity that the entry host gave the call, empty if unanswered
   * @param status the status, zero if unanswered
   * @param outcome {@code answered}, {@code not_run}, {@code unknown} or {@code none}
   */
  record Told(String idempotencyKey, String requestIdentifier, int status, String outcome) {}

  synchronized void add(Told outcome) {
    told.add(outcome);
  }

  /** Returns how often each status and outcome was told. */
  synchronized Map<String, Long> counts() {
    Map<String, Long> counts = new TreeMap<>();
    told.forEach(one -> counts.merge(one.status() + " " + one.outcome(), 1L, Long::sum));
    return counts;
  }

  /** Returns the breaks of the promises on calls that may not be repeated. */
  synchronized List<String> breaks(List<LedgerEntry> ledger) {
    Map<String, List<LedgerEntry>> runs = new HashMap<>();
    Set<String> identifiers = new HashSet<>();
    for (LedgerEntry entry : ledger) {
      entry
          .idempotencyKey()
          .ifPresent(key -> runs.computeIfAbsent(key, absent -> new ArrayList<>()).add(entry));
      entry.requestIdentifier().ifPresent(identifiers::add);
    }
    List<String> breaks = new ArrayList<>();
    runs.forEach(
        (key, entries) -> {
          if (entries.size() > 1) {
            breaks.add("double run of " + key + ": " + entries);
          }
        });
    for (Told one : told) {
      if (one.outcome().equals(NOT_RUN) && identifiers.contains(one.requestIdentifier())) {
        breaks.add("told not run but ran: " + one);
      }
      if (one.outcome().equals("answered") && !runs.containsKey(one.idempotencyKey())) {
        breaks.add("answered without a run: " + one);
      }
    }
    return breaks;
  }
}
