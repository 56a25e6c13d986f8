package org.parsleyhead.core.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;

@DisplayName("The quarantine of requests that may end their servers")
class QuarantineTests {

  private static final Trait DEADLY = new Trait(Trait.Kind.PROMPT_PART, 1);
  private static final Trait COMMON = new Trait(Trait.Kind.PROMPT_PART, 2);
  private static final Trait RARE = new Trait(Trait.Kind.PROMPT_PART, 3);
  private static final List<String> HOSTS = List.of("self", "other");
  private static final TrialRight ALWAYS = (trait, turn, hosts) -> true;
  private static final TrialRight NEVER = (trait, turn, hosts) -> false;

  private MonotonicTime now = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(1_000));
  private Quarantine quarantine = Quarantine.EMPTY;

  private void advance(Duration duration) {
    now = now.plus(duration);
  }

  private void lose(long serverRun, boolean answerBegun, Trait... traits) {
    quarantine = quarantine.lost(List.of(traits), new Loss(serverRun, answerBegun, now));
  }

  private void answer(long serverRun, Trait... traits) {
    quarantine = quarantine.answered(List.of(traits), serverRun, now);
  }

  private Verdict verdict(TrialRight right, Trait... traits) {
    return quarantine.verdict(List.of(traits), right, HOSTS, now);
  }

  private void condemn(Trait... traits) {
    lose(1, true, traits);
    advance(Duration.ofSeconds(3));
    lose(2, true, traits);
  }

  @Test
  @DisplayName("suspects a trait that no answer had when a server ended on its request")
  void suspects() {
    lose(1, true, DEADLY);
    assertEquals(Standing.SUSPECT, quarantine.standing(DEADLY, now));
    assertEquals(Verdict.Decision.REFUSE, verdict(ALWAYS, DEADLY).decision());
  }

  @Test
  @DisplayName("condemns a trait on which a second server ends")
  void condemns() {
    condemn(DEADLY);
    assertEquals(Standing.CONDEMNED, quarantine.standing(DEADLY, now));
    assertEquals(Verdict.Decision.REFUSE, verdict(ALWAYS, DEADLY, COMMON).decision());
    assertEquals(Duration.ofSeconds(30), verdict(ALWAYS, DEADLY).retryAfter());
  }

  @Test
  @DisplayName("acquits a trait once an answer to a request with it begins")
  void acquits() {
    lose(1, true, COMMON);
    advance(Duration.ofMillis(10));
    answer(9, COMMON);
    assertEquals(Standing.CLEAR, quarantine.standing(COMMON, now));
  }

  @Test
  @DisplayName("does not suspect a trait that was answered shortly before")
  void trustsAnswered() {
    answer(9, COMMON);
    advance(Duration.ofSeconds(5));
    lose(1, true, COMMON, DEADLY);
    assertEquals(Standing.CLEAR, quarantine.standing(COMMON, now));
    assertEquals(Standing.SUSPECT, quarantine.standing(DEADLY, now));
  }

  @Test
  @DisplayName(
      "condemns also a trait that was answered before, once it ends three servers in a row")
  void condemnsWhatBecomesDeadly() {
    answer(9, COMMON);
    advance(Duration.ofSeconds(1));
    condemn(COMMON);
    assertEquals(Standing.CLEAR, quarantine.standing(COMMON, now));
    advance(Duration.ofSeconds(1));
    lose(3, true, COMMON);
    assertEquals(Standing.CONDEMNED, quarantine.standing(COMMON, now));
  }

  @Test
  @DisplayName("counts losses at about the same time once, since a partition loses many")
  void countsCommonCauseOnce() {
    for (long run = 1; run <= 8; run++) {
      lose(run, true, RARE);
    }
    assertEquals(Standing.SUSPECT, quarantine.standing(RARE, now));
  }

  @Test
  @DisplayName("does not suspect a request that still waited when its server ended")
  void sparesWaiting() {
    lose(1, false, RARE);
    assertEquals(Standing.CLEAR, quarantine.standing(RARE, now));
  }

  @Test
  @DisplayName("withdraws a loss when the server turns out not to have ended")
  void withdrawsLossOfLivingServer() {
    lose(1, true, RARE);
    advance(Duration.ofSeconds(1));
    answer(1, COMMON);
    assertEquals(Standing.CLEAR, quarantine.standing(RARE, now));
  }

  @Test
  @DisplayName("sends one trial a turn, and only with the right to it")
  void sendsTrialInTurn() {
    lose(1, true, DEADLY);
    advance(Duration.ofMillis(2_500));
    assertEquals(Verdict.Decision.REFUSE, verdict(NEVER, DEADLY).decision());
    Verdict trial = verdict(ALWAYS, DEADLY);
    assertEquals(Verdict.Decision.SEND_AS_TRIAL, trial.decision());
    quarantine = quarantine.withTrial(trial, now);
    assertEquals(Verdict.Decision.REFUSE, verdict(ALWAYS, DEADLY).decision());
    advance(Duration.ofSeconds(2));
    assertEquals(Verdict.Decision.SEND_AS_TRIAL, verdict(ALWAYS, DEADLY).decision());
  }

  @Test
  @DisplayName(
      "tries single requests once a verdict is over, and doubles it if a server ends again")
  void endsVerdict() {
    condemn(DEADLY);
    advance(Duration.ofSeconds(31));
    assertEquals(Standing.PROBATION, quarantine.standing(DEADLY, now));
    assertEquals(Verdict.Decision.SEND_AS_TRIAL, verdict(ALWAYS, DEADLY).decision());
    lose(3, true, DEADLY);
    assertEquals(Standing.CONDEMNED, quarantine.standing(DEADLY, now));
    assertEquals(Duration.ofSeconds(60), verdict(ALWAYS, DEADLY).retryAfter());
  }

  @Test
  @DisplayName("tries a request with only one of two traits that were always lost together")
  void tellsTraitsApart() {
    condemn(DEADLY, RARE);
    assertEquals(Verdict.Decision.REFUSE, verdict(ALWAYS, DEADLY, RARE).decision());
    assertEquals(Verdict.Decision.SEND_AS_TRIAL, verdict(ALWAYS, RARE).decision());
    answer(9, RARE);
    assertEquals(Verdict.Decision.SEND, verdict(NEVER, RARE).decision());
    assertEquals(Verdict.Decision.REFUSE, verdict(ALWAYS, DEADLY).decision());
  }

  @Test
  @DisplayName("reaches the same conclusion from what another host tells")
  void mergesReports() {
    condemn(DEADLY);
    Quarantine other = Quarantine.EMPTY.merged(quarantine.reports(now), now);
    assertEquals(Standing.CONDEMNED, other.standing(DEADLY, now));
  }

  @Test
  @DisplayName("does not change by evidence that comes twice, a little later")
  void mergesOnce() {
    answer(9, COMMON);
    advance(Duration.ofSeconds(1));
    condemn(DEADLY, COMMON);
    List<TraitReport> reports = quarantine.reports(now);
    Quarantine once = Quarantine.EMPTY.merged(reports, now);
    Quarantine twice = once.merged(reports, now.plus(Duration.ofMillis(40)));
    assertEquals(once.records(), twice.records());
  }

  @Test
  @DisplayName("knows when its own answer clears what another host suspects")
  void clearsByOwnAnswer() {
    lose(1, true, RARE);
    List<TraitReport> reports = quarantine.reports(now);
    assertEquals(List.of(), Quarantine.EMPTY.clearances(reports, now));
    Quarantine other = Quarantine.EMPTY.answered(List.of(RARE), 9, now);
    assertEquals(1, other.clearances(reports, now).size());
    advance(Duration.ofMillis(1));
    Quarantine cleared = quarantine.merged(other.clearances(reports, now), now);
    assertEquals(Standing.CLEAR, cleared.standing(RARE, now));
  }

  @Test
  @DisplayName("lifts a verdict on the word of an operator")
  void lifts() {
    condemn(DEADLY);
    quarantine = quarantine.lifted(DEADLY, now);
    assertEquals(Verdict.SEND, verdict(NEVER, DEADLY));
  }

  @Test
  @DisplayName("forgets what no longer matters, and stays bounded")
  void staysBounded() {
    for (long identity = 0; identity < 10_000; identity++) {
      lose(identity, true, new Trait(Trait.Kind.ADAPTER, identity));
      answer(-1, new Trait(Trait.Kind.PROMPT_PART, identity));
    }
    assertTrue(quarantine.records().size() <= 256);
    assertTrue(quarantine.reports(now).size() <= 64);
    advance(Duration.ofMinutes(3));
    assertEquals(Optional.empty(), quarantine.pruned(now).records().keySet().stream().findAny());
  }

  @Test
  @DisplayName("finds a trait by the name that logs and lists show")
  void findsTraitByName() {
    Trait trait = new Trait(Trait.Kind.ADAPTER, -5);
    assertEquals(Optional.of(trait), Trait.named(trait.name()));
    assertEquals(Optional.empty(), Trait.named("adapter-xyz"));
    assertEquals(Optional.empty(), Trait.named("nothing"));
  }
}
