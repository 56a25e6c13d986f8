package org.parsleyhead.load.compare;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.load.result.Outcome;
import org.parsleyhead.standin.ledger.LedgerEntry;

/**
 * Times that completions waited until they reached an engine, separately for requests whose adapter
 * was loaded while they waited.
 *
 * <p>Immutable and thread-safe. The wait lasts from the scheduled time of the request to the
 * arrival of its first run at an engine. A request counts as stalled if its adapter was loaded on
 * that engine, and the load ended, within that wait.
 *
 * @param loads the number of completed adapter loads
 * @param failedLoads the number of adapter loads that were refused or failed
 * @param stalled the waits of stalled requests in milliseconds, in ascending order
 * @param resident the waits of all other requests in milliseconds, in ascending order
 */
public record StallStatistics(
    long loads, long failedLoads, List<Long> stalled, List<Long> resident) {

  /** Makes defensive copies of the lists. */
  public StallStatistics {
    stalled = List.copyOf(stalled);
    resident = List.copyOf(resident);
  }

  private record EngineAdapter(String upstream, String model) {}

  /** Computes the statistics from the outcomes of a run and the ledgers of its upstreams. */
  public static StallStatistics of(List<Outcome> outcomes, List<LedgerEntry> ledger) {
    Map<EngineAdapter, List<LedgerEntry>> loads = new HashMap<>();
    Map<String, LedgerEntry> firstRuns = new HashMap<>();
    for (LedgerEntry entry : ledger) {
      if (isLoad(entry, "finished")) {
        loads.computeIfAbsent(engineAdapterOf(entry), key -> new ArrayList<>()).add(entry);
      } else if (entry.kind().equals("completion") && !entry.outcome().equals("refused")) {
        firstRuns.merge(entry.contentDigest(), entry, StallStatistics::earlier);
      }
    }
    List<Long> stalled = new ArrayList<>();
    List<Long> resident = new ArrayList<>();
    for (Outcome outcome : outcomes) {
      Optional.ofNullable(firstRuns.get(outcome.contentDigest()))
          .filter(run -> outcome.attempt() == 1)
          .ifPresent(
              run -> {
                boolean waitedForLoad = isStalled(outcome, run, loads);
                (waitedForLoad ? stalled : resident).add(waitMilliseconds(outcome, run));
              });
    }
    stalled.sort(Comparator.naturalOrder());
    resident.sort(Comparator.naturalOrder());
    return new StallStatistics(
        ledger.stream().filter(entry -> isLoad(entry, "finished")).count(),
        ledger.stream().filter(entry -> isLoad(entry, "refused")).count(),
        stalled,
        resident);
  }

  /** Returns a percentile of ascending waits in milliseconds; zero if there are none. */
  public static long percentile(List<Long> waits, double percentile) {
    int index = (int) Math.min(waits.size() - 1.0, waits.size() * percentile / 100);
    return waits.isEmpty() ? 0 : waits.get(index);
  }

  /** Returns the total wait of all stalled requests in milliseconds. */
  public long totalStalledMilliseconds() {
    return stalled.stream().mapToLong(Long::longValue).sum();
  }

  private static boolean isStalled(
      Outcome outcome, LedgerEntry run, Map<EngineAdapter, List<LedgerEntry>> loads) {
    return loads.getOrDefault(engineAdapterOf(run), List.of()).stream()
        .anyMatch(
            load ->
                load.endMilliseconds() > outcome.dueEpochMilliseconds()
                    && load.endMilliseconds() <= run.startMilliseconds());
  }

  private static long waitMilliseconds(Outcome outcome, LedgerEntry run) {
    return Math.max(0, run.startMilliseconds() - outcome.dueEpochMilliseconds());
  }

  private static boolean isLoad(LedgerEntry entry, String outcome) {
    return entry.kind().equals("load") && entry.outcome().equals(outcome);
  }

  private static EngineAdapter engineAdapterOf(LedgerEntry entry) {
    return new EngineAdapter(entry.upstream(), entry.model());
  }

  private static LedgerEntry earlier(LedgerEntry first, LedgerEntry second) {
    return second.startMilliseconds() < first.startMilliseconds() ? second : first;
  }
}
