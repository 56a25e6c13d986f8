package org.parsleyhead.core.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The evidence of one host about the traits of requests, and what follows from it.
 *
 * <p>Immutable and thread-safe. Bounded in the number of traits. Hosts with the same evidence reach
 * the same conclusions without a vote; evidence that arrives late or twice changes nothing else.
 *
 * @param records the traits with losses, and those acquitted lately
 * @param history when answers to requests with each trait last began
 * @param servers when each run of a server last began an answer
 * @param trials the last turn in which this host sent a trial, by trait
 * @param own the traits about which this host has evidence of its own
 */
public record Quarantine(
    PMap<Trait, TraitRecord> records,
    AnswerHistory<Trait> history,
    AnswerHistory<Long> servers,
    PMap<Trait, Trial> trials,
    PSet<Trait> own) {

  /** The state of a host that knows nothing. */
  public static final Quarantine EMPTY =
      new Quarantine(
          HashTreePMap.empty(),
          AnswerHistory.empty(),
          AnswerHistory.empty(),
          HashTreePMap.empty(),
          HashTreePSet.empty());

  /** Covers the time until a trial has been answered, and until the others have heard of it. */
  private static final Duration TURN = Duration.ofSeconds(2);

  /**
   * A server that answers this long after a loss has not ended; longer than a busy host takes to
   * read what had arrived before.
   */
  private static final Duration ALIVE_MARGIN = Duration.ofMillis(500);

  private static final int MAXIMUM_RECORDS = 256;
  private static final int MAXIMUM_REPORTS = 64;

  /** Returns the evidence after an answer to a request has begun at a run of a server. */
  public Quarantine answered(Collection<Trait> traits, long serverRun, MonotonicTime time) {
    AnswerHistory<Trait> nextHistory = history;
    PMap<Trait, TraitRecord> next = withoutLossOf(serverRun, time);
    PSet<Trait> nextOwn = own;
    for (Trait trait : traits) {
      nextHistory = nextHistory.with(trait, time);
      TraitRecord known = next.get(trait);
      if (known != null && !known.losses().isEmpty()) {
        nextOwn = nextOwn.plus(trait);
        nextHistory = nextHistory.withLatest(trait, time);
        next =
            unrestricted(known, time)
                ? next.minus(trait)
                : next.plus(trait, known.withAnswer(time));
      }
    }
    return new Quarantine(next, nextHistory, servers.with(serverRun, time), trials, nextOwn);
  }

  /** Returns the evidence after a loss before any content of the answer to a request. */
  public Quarantine lost(Collection<Trait> traits, Loss loss) {
    PMap<Trait, TraitRecord> next = records;
    PSet<Trait> nextOwn = own;
    for (Trait trait : traits) {
      TraitRecord known = next.get(trait);
      if (known != null || next.size() < MAXIMUM_RECORDS) {
        next = next.plus(trait, recordOf(known, trait).withLoss(loss));
        nextOwn = nextOwn.plus(trait);
      }
    }
    return new Quarantine(next, history, servers, trials, nextOwn);
  }

  /** Returns the evidence together with that of another host. */
  public Quarantine merged(List<TraitReport> reports, MonotonicTime time) {
    PMap<Trait, TraitRecord> next = records;
    AnswerHistory<Trait> nextHistory = history;
    for (TraitReport report : reports) {
      Trait trait = report.trait();
      TraitRecord known = next.get(trait);
      if (known == null && (report.losses().isEmpty() || next.size() >= MAXIMUM_RECORDS)) {
        continue;
      }
      TraitRecord merged = mergedRecord(recordOf(known, trait), report, time);
      boolean acquitted = merged.losses().isEmpty();
      next = acquitted && unrestricted(known, time) ? next.minus(trait) : next.plus(trait, merged);
      if (acquitted && merged.answeredAt().isPresent()) {
        nextHistory = nextHistory.withLatest(trait, merged.answeredAt().get());
      }
    }
    return new Quarantine(next, nextHistory, servers, trials, own);
  }

  private TraitRecord mergedRecord(TraitRecord known, TraitReport report, MonotonicTime time) {
    TraitRecord merged = known;
    for (TraitReport.ReportedLoss reported : report.losses()) {
      MonotonicTime at = time.minus(Duration.ofMillis(reported.ageMilliseconds()));
      if (!aliveAfter(reported.serverRun(), at)) {
        merged = merged.withLoss(new Loss(reported.serverRun(), reported.answerBegun(), at));
      }
    }
    return report.answeredAgeMilliseconds().isPresent()
        ? merged.withAnswer(time.minus(Duration.ofMillis(report.answeredAgeMilliseconds().get())))
        : merged;
  }

  /** Returns the evidence after operators have lifted the verdict on a trait. */
  public Quarantine lifted(Trait trait, MonotonicTime time) {
    return new Quarantine(
        records.plus(trait, recordOf(records.get(trait), trait).withAnswer(time)),
        history.withLatest(trait, time),
        servers,
        trials,
        own.plus(trait));
  }

  /** Decides whether a request with the given traits may be sent. */
  public Verdict verdict(
      Collection<Trait> traits,
      TrialRight right,
      Collection<String> liveHosts,
      MonotonicTime time) {
    if (records.isEmpty()) {
      return Verdict.SEND;
    }
    Optional<Trait> worst =
        traits.stream()
            .filter(trait -> !standing(trait, time).unrestricted())
            .max(
                Comparator.comparing((Trait trait) -> standing(trait, time))
                    .thenComparing(trait -> records.get(trait).assess(time).score())
                    .thenComparing(Trait::identity));
    return worst
        .map(trait -> verdictOnWorst(trait, traits, right, liveHosts, time))
        .orElse(Verdict.SEND);
  }

  /** Returns this state after the request that a verdict made a trial has been sent. */
  public Quarantine withTrial(Verdict verdict, MonotonicTime time) {
    Trait trait = verdict.trait().orElseThrow();
    Assessment assessment = records.get(trait).assess(time);
    return new Quarantine(
        records,
        history,
        servers,
        trials.plus(trait, new Trial(assessment.since(), turn(assessment, time))),
        own);
  }

  /** Returns the standing of a trait. */
  public Standing standing(Trait trait, MonotonicTime time) {
    TraitRecord known = records.get(trait);
    return known == null ? Standing.CLEAR : known.assess(time).standing();
  }

  /** Returns the number of server runs whose loss speaks against a trait. */
  public int losses(Trait trait) {
    TraitRecord known = records.get(trait);
    return known == null ? 0 : known.losses().size();
  }

  /** Returns the traits that are not clear, with their standing. */
  public Map<Trait, Standing> restricted(MonotonicTime time) {
    Map<Trait, Standing> restricted = new HashMap<>();
    records.forEach(
        (trait, known) -> {
          Standing standing = known.assess(time).standing();
          if (!standing.unrestricted()) {
            restricted.put(trait, standing);
          }
        });
    return restricted;
  }

  /**
   * Returns what other hosts should know: the traits that are or were lately more than a
   * coincidence, the newest first.
   */
  public List<TraitReport> reports(MonotonicTime time) {
    return ReportOrder.newestFirst(told(time), time).limit(MAXIMUM_REPORTS).toList();
  }

  /** Returns those of the reports that hold evidence of this host which is younger than an age. */
  public List<TraitReport> ownReports(Duration maximumAge, MonotonicTime time) {
    Map<Trait, TraitRecord> told = told(time);
    told.keySet().retainAll(own);
    return ReportOrder.newestFirst(told, time)
        .filter(report -> ReportOrder.age(report) < maximumAge.toMillis())
        .limit(MAXIMUM_REPORTS)
        .toList();
  }

  /**
   * Returns the answers of this host that clear what another host's reports restrict, for a reply
   * to that host.
   */
  public List<TraitReport> clearances(List<TraitReport> reports, MonotonicTime time) {
    return reports.stream().flatMap(report -> clearance(report, time).stream()).toList();
  }

  private Optional<TraitReport> clearance(TraitReport report, MonotonicTime time) {
    Trait trait = report.trait();
    if (EMPTY.merged(List.of(report), time).standing(trait, time).unrestricted()
        || !merged(List.of(report), time).standing(trait, time).unrestricted()) {
      return Optional.empty();
    }
    return history
        .lastAnswer(trait)
        .map(
            answered ->
                new TraitReport(
                    trait, Optional.of(Math.max(0, time.since(answered).toMillis())), List.of()));
  }

  /** Returns the reports that hold more than this host has told other hosts before. */
  public List<TraitReport> news(Quarantine before, MonotonicTime time) {
    if (before.records == records) {
      return List.of();
    }
    Map<Trait, TraitRecord> known = before.told(time);
    Map<Trait, TraitRecord> told = told(time);
    told.entrySet().removeIf(entry -> !isNews(entry.getValue(), known.get(entry.getKey())));
    return ReportOrder.newestFirst(told, time).limit(MAXIMUM_REPORTS).toList();
  }

  private static boolean isNews(TraitRecord told, TraitRecord before) {
    Set<Long> runs = before == null ? Set.of() : before.losses().keySet();
    boolean acquitted = told.losses().isEmpty() && !runs.isEmpty();
    return acquitted || !runs.containsAll(told.losses().keySet());
  }

  /** Returns this state without the evidence that no longer matters. */
  public Quarantine pruned(MonotonicTime time) {
    PMap<Trait, TraitRecord> next = records;
    PMap<Trait, Trial> nextTrials = trials;
    PSet<Trait> nextOwn = own;
    for (Map.Entry<Trait, TraitRecord> entry : records.entrySet()) {
      if (entry.getValue().expired(time)) {
        next = next.minus(entry.getKey());
        nextTrials = nextTrials.minus(entry.getKey());
        nextOwn = nextOwn.minus(entry.getKey());
      }
    }
    return next == records ? this : new Quarantine(next, history, servers, nextTrials, nextOwn);
  }

  private static boolean unrestricted(TraitRecord known, MonotonicTime time) {
    return known == null || known.assess(time).standing().unrestricted();
  }

  /** Returns whether the run of a server has answered this host since a loss. */
  private boolean aliveAfter(long serverRun, MonotonicTime at) {
    return servers
        .lastAnswer(serverRun)
        .map(answered -> answered.since(at).compareTo(ALIVE_MARGIN) > 0)
        .orElse(false);
  }

  private TraitRecord recordOf(TraitRecord known, Trait trait) {
    return known == null ? TraitRecord.of(history.lastAnswer(trait)) : known;
  }

  private PMap<Trait, TraitRecord> withoutLossOf(long serverRun, MonotonicTime time) {
    PMap<Trait, TraitRecord> next = records;
    for (Map.Entry<Trait, TraitRecord> entry : records.entrySet()) {
      Loss loss = entry.getValue().losses().get(serverRun);
      if (loss != null && time.since(loss.at()).compareTo(ALIVE_MARGIN) > 0) {
        next = next.plus(entry.getKey(), entry.getValue().withoutRun(serverRun));
      }
    }
    return next;
  }

  private Verdict verdictOnWorst(
      Trait trait,
      Collection<Trait> traits,
      TrialRight right,
      Collection<String> liveHosts,
      MonotonicTime time) {
    Assessment assessment = records.get(trait).assess(time);
    if (assessment.standing() == Standing.CONDEMNED && !distinguishes(trait, traits, time)) {
      return decide(Verdict.Decision.REFUSE, trait, assessment, assessment.until().since(time));
    }
    long turn = turn(assessment, time);
    boolean waitsForNews = assessment.standing() == Standing.SUSPECT && turn == 0;
    boolean tried = new Trial(assessment.since(), turn).equals(trials.get(trait));
    if (!waitsForNews && !tried && right.granted(trait, turn, liveHosts)) {
      return decide(Verdict.Decision.SEND_AS_TRIAL, trait, assessment, Duration.ZERO);
    }
    Duration untilNextTurn = assessment.since().plus(TURN.multipliedBy(turn + 1)).since(time);
    return decide(Verdict.Decision.REFUSE, trait, assessment, untilNextTurn);
  }

  /**
   * Returns whether a request tells two condemned traits apart: another one that it does not carry
   * explains all losses of its own one.
   */
  private boolean distinguishes(Trait trait, Collection<Trait> traits, MonotonicTime time) {
    Set<Long> runs = records.get(trait).losses().keySet();
    return records.entrySet().stream()
        .filter(other -> !traits.contains(other.getKey()))
        .filter(other -> other.getValue().losses().keySet().containsAll(runs))
        .anyMatch(other -> other.getValue().assess(time).standing() == Standing.CONDEMNED);
  }

  private static Verdict decide(
      Verdict.Decision decision, Trait trait, Assessment assessment, Duration retryAfter) {
    return new Verdict(
        decision, Optional.of(trait), assessment.standing(), assessment.score(), retryAfter);
  }

  private static long turn(Assessment assessment, MonotonicTime time) {
    return Math.max(0, time.since(assessment.since()).toNanos() / TURN.toNanos());
  }

  private Map<Trait, TraitRecord> told(MonotonicTime time) {
    Map<Trait, TraitRecord> told = new HashMap<>();
    records.forEach(
        (trait, known) -> {
          if (known.worthTelling(time)) {
            told.put(trait, known);
          }
        });
    return told;
  }

  /**
   * A trial that this host has sent.
   *
   * <p>Immutable and thread-safe.
   *
   * @param since the beginning of the standing under which it was sent
   * @param turn the number of the turn
   */
  record Trial(MonotonicTime since, long turn) {}
}
