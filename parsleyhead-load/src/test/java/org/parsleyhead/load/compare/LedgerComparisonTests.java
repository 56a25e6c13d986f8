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
  @DisplayName("finds nothing where each answer has its run")
  void findsNothing() {
    assertEquals(
        List.of(),
        compare(List.of(call(Outcome.End.ANSWERED, "")), List.of(run("call", "finished", ""))));
  }

  @Test
  @DisplayName("finds a call that ran twice though it may not be repeated")
  void findsDoubleRun() {
    LedgerEntry run = run("call", "finished", "");
    assertEquals(
        List.of(Rule.DOUBLE_RUN),
        compare(List.of(call(Outcome.End.FAILED, "")), List.of(run, run)));
  }

  @Test
  @DisplayName("does not count a repetition that the upstream recognised")
  void ignoresRecognisedRepetition() {
    assertEquals(
        List.of(),
        compare(
            List.of(call(Outcome.End.ANSWERED, "")),
            List.of(run("call", "finished", ""), run("call", "repeated", ""))));
  }

  @Test
  @DisplayName("finds a refusal that says not_run of what ran")
  void findsWrongfulNotRun() {
    assertEquals(
        List.of(Rule.WRONGFUL_NOT_RUN),
        compare(
            List.of(call(Outcome.End.REFUSED, "not_run")), List.of(run("call", "finished", ""))));
  }

  @Test
  @DisplayName("accepts not_run of one attempt where another one ran")
  void acceptsRefusedRepetition() {
    assertEquals(
        List.of(),
        compare(
            List.of(call(Outcome.End.ANSWERED, ""), call(Outcome.End.REFUSED, "not_run")),
            List.of(run("call", "finished", ""))));
  }

  @Test
  @DisplayName("counts a wait as a stall if the adapter was loaded on that engine meanwhile")
  void findsStalls() {
    Outcome due = outcome("chat", "a@1", Outcome.End.ANSWERED, "");
    LedgerEntry run = entry("completion", "finished", "a@1", "", 400, 500);
    LedgerEntry load = entry("load", "finished", "a@1", "", 100, 350);
    LedgerEntry other = entry("load", "finished", "b@1", "", 100, 350);
    assertEquals(List.of(400L), StallFigures.of(List.of(due), List.of(load, run)).stalled());
    assertEquals(List.of(400L), StallFigures.of(List.of(due), List.of(other, run)).resident());
  }

  @Test
  @DisplayName("finds an answer without a run and a run of another version")
  void findsWrongRuns() {
    assertEquals(
        List.of(Rule.ANSWERED_WITHOUT_RUN),
        compare(List.of(call(Outcome.End.ANSWERED, "")), List.of()));
    assertEquals(
        List.of(Rule.WRONG_MODEL),
        compare(
            List.of(outcome("chat", "a@1", Outcome.End.ANSWERED, "")),
            List.of(run("completion", "finished", "a@2"))));
  }

  @Test
  @DisplayName("finds a key that an upstream saw and an order against the rules")
  void findsEntries() {
    LedgerEntry seen = entry("call", "finished", "", "Bearer " + KEY);
    LedgerEntry order = entry("unload", "violation", "a@1", "");
    assertEquals(
        List.of(Rule.KEY_SEEN, Rule.ORDER_VIOLATION),
        compare(List.of(call(Outcome.End.ANSWERED, "")), List.of(seen, order)));
  }

  @Test
  @DisplayName("reads the outcomes that were written")
  void readsOutcomes() {
    Outcome outcome = call(Outcome.End.REFUSED, "unknown");
    assertEquals(outcome, OutcomeCodec.decode(OutcomeCodec.encode(outcome)));
  }

  private static List<Rule> compare(List<Outcome> outcomes, List<LedgerEntry> ledger) {
    return LedgerComparison.compare(outcomes, ledger, List.of(KEY)).stream()
        .map(LedgerComparison.Finding::rule)
        .toList();
  }

  private static Outcome call(Outcome.End end, String run) {
    return outcome("call", "", end, run);
  }

  private static Outcome outcome(String kind, String model, Outcome.End end, String run) {
    return new Outcome(
        "run-1",
        1,
        new Outcome.Group("a", "interactive", kind),
        end,
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
