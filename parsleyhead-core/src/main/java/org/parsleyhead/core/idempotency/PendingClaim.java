package org.parsleyhead.core.idempotency;

import java.util.Collection;
import java.util.List;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A claim of this host: waiting for votes, or decided and kept so that it can be released.
 *
 * <p>Immutable and thread-safe.
 *
 * @param repeatKey the key that all repetitions of the request share
 * @param startedAt when the check began
 * @param lastSentAt when the claim was last sent
 * @param version the host list version under which the votes were given
 * @param votes the votes received so far
 * @param decided whether the result has been reported
 */
record PendingClaim(
    String repeatKey,
    MonotonicTime startedAt,
    MonotonicTime lastSentAt,
    long version,
    PMap<HostName, RepeatAnswer.Vote> votes,
    boolean decided) {

  static PendingClaim start(String repeatKey, MonotonicTime time, long version) {
    return new PendingClaim(repeatKey, time, time, version, HashTreePMap.empty(), false);
  }

  /**
   * Returns this claim under a version of the host list; votes from another version are dropped.
   */
  PendingClaim underVersion(long next) {
    return next == version
        ? this
        : new PendingClaim(repeatKey, startedAt, lastSentAt, next, HashTreePMap.empty(), decided);
  }

  PendingClaim withVote(HostName member, RepeatAnswer.Vote vote) {
    return new PendingClaim(
        repeatKey, startedAt, lastSentAt, version, votes.plus(member, vote), decided);
  }

  PendingClaim resentAt(MonotonicTime time) {
    return new PendingClaim(repeatKey, startedAt, time, version, votes, decided);
  }

  PendingClaim asDecided() {
    return new PendingClaim(repeatKey, startedAt, lastSentAt, version, votes, true);
  }

  boolean hasDuplicate() {
    return votes.containsValue(RepeatAnswer.Vote.DUPLICATE);
  }

  long grants() {
    return votes.values().stream().filter(vote -> vote == RepeatAnswer.Vote.GRANTED).count();
  }

  /** Returns the members that have not voted or have declined to vote. */
  List<HostName> membersWithoutVote(Collection<HostName> members) {
    return members.stream()
        .filter(
            member -> {
              RepeatAnswer.Vote vote = votes.get(member);
              return vote == null || vote == RepeatAnswer.Vote.DECLINED;
            })
        .toList();
  }
}
