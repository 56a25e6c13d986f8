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
 * How long completions waited before an engine, apart for those whose adapter was loaded while they
 * waited.
 *
 * <p>Immutable and thread-safe. A wait lasts from the scheduled time of the request to the arrival
 * of its first run at an engine. A request counts as stalled if its adapter was loaded on that
 * engine, and the load ended, within that wait.
 *
 * @param loads how many loads were carried out
 * @param failedLoads how many loads were refused or failed
 * @param stalled the waits of stalled requests in milliseconds, in ascending order
 * @param resident the waits of all other requests in milliseconds, in ascending order
 */
public record StallFigures(long loads, long failedLoads, List<Long> stalled, List<Long> resident) {

  /** Copies the lists. */
  public StallFigures {
    stalled = List.copyOf(stalled);
    resident = List.copyOf(resident);
  }

  private record Place(String upstream, String model) {}

  /** Works the figures out. */
  public static StallFigures of(List<Outcome> outcomes, List<LedgerEntry> ledger) {
    Map<Place, List<LedgerEntry>> loads = new HashMap<>();
    Map<String, LedgerEntry> firstRuns = new HashMap<>();
    for (LedgerEntry entry : ledger) {
      if (isLoad(entry, "finished")) {
        loads.computeIfAbsent(placeOf(entry), place -> new ArrayList<>()).add(entry);
      } else if (entry.kind().equals("completion") && !entry.outcome().equals("refused")) {
        firstRuns.merge(entry.contentDigest(), entry, StallFigures::earlier);
      }
    }
    List<Long> stalled = new ArrayList<>();
    List<Long> resident = new ArrayList<>();
    for (Outcome outcome : outcomes) {
      Optional.ofNullable(firstRuns.get(outcome.contentDigest()))
          .filter(run -> outcome.attempt() == 1)
          .ifPresent(
              run -> {
                boolean held = isStalled(outcome, run, loads);
                (held ? stalled : resident).add(waitOf(outcome, run));
              });
    }
    stalled.sort(Comparator.naturalOrder());
    resident.sort(Comparator.naturalOrder());
    return new StallFigures(
        ledger.stream().filter(entry -> isLoad(entry, "finished")).count(),
        ledger.stream().filter(entry -> isLoad(entry, "refused")).count(),
        stalled,
        resident);
  }

  /** Returns a percentile of waits in milliseconds; zero if there are none. */
  public static long percentile(List<Long> waits, double percentile) {
    int index = (int) Math.min(waits.size() - 1.0, waits.size() * percentile / 100);
    return waits.isEmpty() ? 0 : waits.get(index);
  }

  /** Returns the sum of the waits of stalled requests in milliseconds. */
  public long stalledMilliseconds() {
    return stalled.stream().mapToLong(Long::longValue).sum();
  }

  private static boolean isStalled(
      Outcome outcome, LedgerEntry run, Map<Place, List<LedgerEntry>> loads) {
    return loads.getOrDefault(placeOf(run), List.of()).stream()
        .anyMatch(
            load ->
                load.endMilliseconds() > outcome.dueMilliseconds()
                    && load.endMilliseconds() <= run.startMilliseconds());
  }

  private static long waitOf(Outcome outcome, LedgerEntry run) {
    return Math.max(0, run.startMilliseconds() - outcome.dueMilliseconds());
  }

  private static boolean isLoad(LedgerEntry entry, String end) {
    return entry.kind().equals("load") && entry.outcome().equals(end);
  }

  private static Place placeOf(LedgerEntry entry) {
    return new Place(entry.upstream(), entry.model());
  }

  private static LedgerEntry earlier(LedgerEntry first, LedgerEntry second) {
    return second.startMilliseconds() < first.startMilliseconds() ? second : first;
  }
}
