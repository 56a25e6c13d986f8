package org.parsleyhead.core.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The evidence about one trait.
 *
 * <p>Immutable and thread-safe. An answer that has begun acquits the trait of all earlier losses:
 * the trait on which servers end never has one. Losses at about the same time count once, since
 * they may have one cause that is no request.
 *
 * @param answeredAt when an answer to a request with the trait last began; empty if none is known
 * @param losses the losses since then, by run of the server
 */
record TraitRecord(Optional<MonotonicTime> answeredAt, PMap<Long, Loss> losses) {

  /** Losses within this time of each other may have a common cause, such as a network partition. */
  private static final Duration COMMON_CAUSE_TIME = Duration.ofMillis(300);

  /** How long an answer before the first loss speaks for a trait. */
  private static final Duration TRUST_TIME = Duration.ofSeconds(60);

  /** A trait in common use is answered again within this time. */
  private static final Duration ANSWER_DELAY = Duration.ofMillis(500);

  private static final Duration ANSWER_RESOLUTION = Duration.ofSeconds(2);

  /** How long losses are remembered, and a trait without a verdict is under suspicion. */
  private static final Duration MEMORY_TIME = Duration.ofSeconds(60);

  private static final Duration SUSPICION_TIME = Duration.ofSeconds(10);
  private static final Duration FIRST_VERDICT_TIME = Duration.ofSeconds(30);

  /** The verdict time doubles with each further loss, up to eight minutes. */
  private static final int MAXIMUM_DOUBLINGS = 4;

  private static final int SUSPECT_SCORE = Loss.ANSWER_BEGUN_WEIGHT;
  private static final int CONDEMNED_SCORE = 2 * Loss.ANSWER_BEGUN_WEIGHT;

  /** Added to the score that condemns a trait which has been answered shortly before. */
  private static final int TRUST = Loss.ANSWER_BEGUN_WEIGHT;

  private static final int MAXIMUM_LOSSES = 8;

  static TraitRecord of(Optional<MonotonicTime> answeredAt) {
    return new TraitRecord(answeredAt, HashTreePMap.empty());
  }

  /**
   * Returns this record after an answer. One that changes nothing but its age by less than the
   * resolution is ignored: ages lose precision on their way between hosts.
   */
  TraitRecord withAnswer(MonotonicTime time) {
    boolean acquits = losses.values().stream().anyMatch(loss -> !time.isBefore(loss.at()));
    boolean newer =
        answeredAt.map(known -> time.since(known).compareTo(ANSWER_RESOLUTION) > 0).orElse(true);
    if (!acquits && !newer) {
      return this;
    }
    PMap<Long, Loss> remaining = losses;
    for (Loss loss : losses.values()) {
      if (!time.isBefore(loss.at())) {
        remaining = remaining.minus(loss.serverRun());
      }
    }
    return new TraitRecord(Optional.of(time), remaining);
  }

  TraitRecord withLoss(Loss loss) {
    boolean acquitted = answeredAt.isPresent() && !answeredAt.get().isBefore(loss.at());
    Loss known = losses.get(loss.serverRun());
    if (acquitted || known != null && known.weight() >= loss.weight()) {
      return this;
    }
    PMap<Long, Loss> next = losses.plus(loss.serverRun(), loss);
    if (next.size() > MAXIMUM_LOSSES) {
      next = next.minus(byTime(next).get(0).serverRun());
    }
    return new TraitRecord(answeredAt, next);
  }

  /** Returns this record without the loss of a server run that has not ended after all. */
  TraitRecord withoutRun(long serverRun) {
    return losses.containsKey(serverRun)
        ? new TraitRecord(answeredAt, losses.minus(serverRun))
        : this;
  }

  Assessment assess(MonotonicTime time) {
    List<Loss> ordered = byTime(losses);
    if (ordered.isEmpty()) {
      return new Assessment(Standing.CLEAR, 0, time, time);
    }
    MonotonicTime last = ordered.get(ordered.size() - 1).at();
    boolean trusted =
        answeredAt
            .map(answered -> ordered.get(0).at().since(answered).compareTo(TRUST_TIME) < 0)
            .orElse(false);
    int score = score(ordered);
    int excess = score - CONDEMNED_SCORE - (trusted ? TRUST : 0);
    if (excess >= 0) {
      return condemned(score, excess / Loss.ANSWER_BEGUN_WEIGHT, last, time);
    }
    MonotonicTime suspectUntil = last.plus(SUSPICION_TIME);
    boolean suspect = !trusted && score >= SUSPECT_SCORE && time.isBefore(suspectUntil);
    return new Assessment(suspect ? Standing.SUSPECT : Standing.CLEAR, score, last, suspectUntil);
  }

  private static Assessment condemned(
      int score, int furtherLosses, MonotonicTime last, MonotonicTime time) {
    Duration verdictTime =
        FIRST_VERDICT_TIME.multipliedBy(1L << Math.min(MAXIMUM_DOUBLINGS, furtherLosses));
    MonotonicTime end = last.plus(verdictTime);
    return time.isBefore(end)
        ? new Assessment(Standing.CONDEMNED, score, last, end)
        : new Assessment(Standing.PROBATION, score, end, end.plus(MEMORY_TIME));
  }

  /**
   * Returns whether other hosts should hear of this record: it restricts requests, it did so until
   * an answer came, or losses have remained without an answer for a while.
   */
  boolean worthTelling(MonotonicTime time) {
    if (losses.isEmpty()) {
      return true;
    }
    Assessment assessment = assess(time);
    MonotonicTime last = byTime(losses).get(losses.size() - 1).at();
    return !assessment.standing().unrestricted()
        || assessment.score() >= SUSPECT_SCORE && time.since(last).compareTo(ANSWER_DELAY) > 0;
  }

  /** Returns whether nothing of this record matters any more. */
  boolean expired(MonotonicTime time) {
    Assessment assessment = assess(time);
    boolean memoryEnded =
        losses.values().stream().allMatch(loss -> time.since(loss.at()).compareTo(MEMORY_TIME) > 0);
    return switch (assessment.standing()) {
      case CONDEMNED, SUSPECT -> false;
      case PROBATION -> !time.isBefore(assessment.until());
      case CLEAR ->
          losses.isEmpty()
              ? answeredAt
                  .map(answered -> time.since(answered).compareTo(SUSPICION_TIME) > 0)
                  .orElse(true)
              : memoryEnded;
    };
  }

  private static int score(List<Loss> ordered) {
    int score = 0;
    int weight = 0;
    MonotonicTime start = ordered.get(0).at();
    for (Loss loss : ordered) {
      if (loss.at().since(start).compareTo(COMMON_CAUSE_TIME) > 0) {
        score += weight;
        weight = 0;
        start = loss.at();
      }
      weight = Math.max(weight, loss.weight());
    }
    return score + weight;
  }

  private static List<Loss> byTime(PMap<Long, Loss> losses) {
    return losses.values().stream()
        .sorted(Comparator.comparing(Loss::at).thenComparing(Loss::serverRun))
        .toList();
  }
}
