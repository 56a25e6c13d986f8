package org.parsleyhead.load.compare;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.parsleyhead.load.check.Refusal;
import org.parsleyhead.load.result.Outcome;
import org.parsleyhead.standin.ledger.LedgerEntry;

/**
 * Compares the outcomes observed by callers with the requests recorded by upstreams.
 *
 * <p>Stateless and thread-safe. Requests are matched with runs by the digest of their content,
 * which only attempts of the same request share.
 */
public final class LedgerComparison {

  private LedgerComparison() {}

  /** The rules that are checked. */
  public enum Rule {
    /** A call that is not idempotent ran more than once. */
    DOUBLE_RUN,
    /** A request ran although the refusal of each of its attempts stated that it did not run. */
    WRONGFUL_NOT_RUN,
    /** A request was answered although no upstream recorded a run. */
    ANSWERED_WITHOUT_RUN,
    /** A request ran on an adapter or version other than the requested one. */
    WRONG_MODEL,
    /** A request ran although it had to be refused. */
    FORBIDDEN_RUN,
    /** An upstream received the API key of a caller. */
    KEY_SEEN,
    /** An upstream received an order that violates its rules. */
    ORDER_VIOLATION
  }

  /** A violation of a rule. */
  public record Finding(Rule rule, String upstream, String detail) {}

  /** Returns all violations. */
  public static List<Finding> compare(
      List<Outcome> outcomes, List<LedgerEntry> ledger, Collection<String> keys) {
    Map<String, List<LedgerEntry>> runs =
        ledger.stream()
            .filter(LedgerComparison::hasRun)
            .collect(Collectors.groupingBy(LedgerEntry::contentDigest));
    Map<String, List<Outcome>> attempts =
        outcomes.stream()
            .collect(
                Collectors.groupingBy(
                    Outcome::contentDigest, LinkedHashMap::new, Collectors.toList()));
    List<Finding> findings = new ArrayList<>();
    attempts.forEach(
        (digest, sent) -> checkRequest(sent, runs.getOrDefault(digest, List.of()), findings));
    ledger.forEach(entry -> checkEntry(entry, keys, findings));
    return findings;
  }

  /** Returns the number of violations of each rule. */
  public static Map<Rule, Long> count(List<Finding> findings) {
    Map<Rule, Long> counts = new EnumMap<>(Rule.class);
    for (Rule rule : Rule.values()) {
      counts.put(rule, findings.stream().filter(finding -> finding.rule() == rule).count());
    }
    return counts;
  }

  private static boolean hasRun(LedgerEntry entry) {
    return switch (entry.kind()) {
      case "call" -> entry.outcome().equals("finished");
      case "completion" ->
          entry.outcome().equals("finished") || entry.outcome().equals("cancelled");
      default -> false;
    };
  }

  private static void checkRequest(
      List<Outcome> attempts, List<LedgerEntry> runs, List<Finding> findings) {
    Outcome first = attempts.get(0);
    boolean call = first.group().kind().equals("call");
    if (call && !first.idempotent() && runs.size() > 1) {
      findings.add(finding(Rule.DOUBLE_RUN, first, runs));
    }
    if (!runs.isEmpty()
        && attempts.stream().allMatch(attempt -> attempt.run().equals(Refusal.NOT_RUN))) {
      findings.add(finding(Rule.WRONGFUL_NOT_RUN, first, runs));
    }
    if (runs.isEmpty()
        && attempts.stream()
            .anyMatch(attempt -> attempt.result() == Outcome.RequestResult.ANSWERED)) {
      findings.add(finding(Rule.ANSWERED_WITHOUT_RUN, first, runs));
    }
    if (first.refusalExpected() && !runs.isEmpty()) {
      findings.add(finding(Rule.FORBIDDEN_RUN, first, runs));
    }
    if (runs.stream().anyMatch(run -> !run.model().equals(first.model()))) {
      findings.add(finding(Rule.WRONG_MODEL, first, runs));
    }
  }

  private static Finding finding(Rule rule, Outcome outcome, List<LedgerEntry> runs) {
    String upstreams = runs.stream().map(LedgerEntry::upstream).collect(Collectors.joining(","));
    return new Finding(rule, upstreams, outcome.identifier());
  }

  private static void checkEntry(
      LedgerEntry entry, Collection<String> keys, List<Finding> findings) {
    if (entry.outcome().equals("violation")) {
      findings.add(
          new Finding(Rule.ORDER_VIOLATION, entry.upstream(), entry.note() + " " + entry.model()));
    }
    boolean keyInHeader =
        entry.headers().stream()
            .anyMatch(
                field ->
                    keys.stream()
                        .anyMatch(
                            key -> field.value().contains(key) || field.name().contains(key)));
    if (keyInHeader || keys.stream().anyMatch(entry.target()::contains)) {
      findings.add(new Finding(Rule.KEY_SEEN, entry.upstream(), entry.target()));
    }
  }
}
