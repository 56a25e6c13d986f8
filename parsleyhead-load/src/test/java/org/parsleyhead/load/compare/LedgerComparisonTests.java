package org.parsleyhead.load.compare;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.load.compare.LedgerComparison.Rule;
import org.parsleyhead.load.result.Outcome;
import org.parsleyhead.load.result.OutcomeCodec;
import org.parsleyhead.standin.http.HeaderField;
import org.parsleyhead.standin.ledger.LedgerEntry;

@DisplayName("The comparison of outcomes with ledgers")
class LedgerComparisonTests {

  private static final String KEY = "secret-key";

  @Test
  @DisplayName("reports no violation if each answered request has one run")
  void acceptsMatchingRuns() {
    assertEquals(
        List.of(),
        compare(
            List.of(call(Outcome.RequestResult.ANSWERED, "")),
            List.of(run("call", "finished", ""))));
  }

  @Test
  @DisplayName("reports a call that is not idempotent and ran twice")
  void reportsDoubleRun() {
    LedgerEntry run = run("call", "finished", "");
    assertEquals(
        List.of(Rule.DOUBLE_RUN),
        compare(List.of(call(Outcome.RequestResult.FAILED, "")), List.of(run, run)));
  }

  @Test
  @DisplayName("ignores a duplicate call that the upstream recognized")
  void ignoresRecognizedDuplicate() {
    assertEquals(
        List.of(),
        compare(
            List.of(call(Outcome.RequestResult.ANSWERED, "")),
            List.of(run("call", "finished", ""), run("call", "repeated", ""))));
  }

  @Test
  @DisplayName("reports a refusal as not_run of a request that ran")
  void reportsWrongfulNotRun() {
    assertEquals(
        List.of(Rule.WRONGFUL_NOT_RUN),
        compare(
            List.of(call(Outcome.RequestResult.REFUSED, "not_run")),
            List.of(run("call", "finished", ""))));
  }

  @Test
  @DisplayName("accepts a refusal as not_run of one attempt if another attempt ran")
  void acceptsRefusedAttempt() {
    assertEquals(
        List.of(),
        compare(
            List.of(
                call(Outcome.RequestResult.ANSWERED, ""),
                call(Outcome.RequestResult.REFUSED, "not_run")),
            List.of(run("call", "finished", ""))));
  }

  @Test
  @DisplayName(
      "counts a request as stalled if its adapter was loaded on its engine while it waited")
  void countsStalledRequests() {
    Outcome due = outcome("chat", "a@1", Outcome.RequestResult.ANSWERED, "");
    LedgerEntry run = entry("completion", "finished", "a@1", "", 400, 500);
    LedgerEntry load = entry("load", "finished", "a@1", "", 100, 350);
    LedgerEntry other = entry("load", "finished", "b@1", "", 100, 350);
    assertEquals(List.of(400L), StallStatistics.of(List.of(due), List.of(load, run)).stalled());
    assertEquals(List.of(400L), StallStatistics.of(List.of(due), List.of(other, run)).resident());
  }

  @Test
  @DisplayName("reports an answered request without a run and a run of another adapter version")
  void reportsMissingAndWrongRuns() {
    assertEquals(
        List.of(Rule.ANSWERED_WITHOUT_RUN),
        compare(List.of(call(Outcome.RequestResult.ANSWERED, "")), List.of()));
    assertEquals(
        List.of(Rule.WRONG_MODEL),
        compare(
            List.of(outcome("chat", "a@1", Outcome.RequestResult.ANSWERED, "")),
            List.of(run("completion", "finished", "a@2"))));
  }

  @Test
  @DisplayName("reports an API key received by an upstream and an order that violates the rules")
  void reportsKeysAndOrderViolations() {
    LedgerEntry seen = entry("call", "finished", "", "Bearer " + KEY);
    LedgerEntry order = entry("unload", "violation", "a@1", "");
    assertEquals(
        List.of(Rule.KEY_SEEN, Rule.ORDER_VIOLATION),
        compare(List.of(call(Outcome.RequestResult.ANSWERED, "")), List.of(seen, order)));
  }

  @Test
  @DisplayName("decodes the outcomes that were encoded")
  void readsOutcomes() {
    Outcome outcome = call(Outcome.RequestResult.REFUSED, "unknown");
    assertEquals(outcome, OutcomeCodec.decode(OutcomeCodec.encode(outcome)));
  }

  private static List<Rule> compare(List<Outcome> outcomes, List<LedgerEntry> ledger) {
    return LedgerComparison.compare(outcomes, ledger, List.of(KEY)).stream()
        .map(LedgerComparison.Finding::rule)
        .toList();
  }

  private static Outcome call(Outcome.RequestResult result, String run) {
    return outcome("call", "", result, run);
  }

  private static Outcome outcome(
      String kind, String model, Outcome.RequestResult result, String run) {
    return new Outcome(
        "run-1",
        1,
        new Outcome.Group("a", "interactive", kind),
        result,
        model,
        "digest",
        "127.0.0.1:1",
        false,
        false,
        0,
        0,
        0,
        -1,
        1,
        1,
        0,
        0,
        200,
        "",
        run,
        Optional.empty());
  }

  private static LedgerEntry run(String kind, String outcome, String model) {
    return entry(kind, outcome, model, "");
  }

  private static LedgerEntry entry(String kind, String outcome, String model, String header) {
    return entry(kind, outcome, model, header, 0, 0);
  }

  private static LedgerEntry entry(
      String kind, String outcome, String model, String header, long start, long end) {
    return new LedgerEntry(
        "upstream-1",
        kind,
        Optional.empty(),
        model,
        "POST /dispatch",
        Optional.empty(),
        "digest",
        List.of(new HeaderField("Authorization", header)),
        start,
        end,
        outcome,
        0,
        0,
        0,
        "");
  }
}
