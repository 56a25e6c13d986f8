package org.parsleyhead.core.idempotency;

import java.util.Collection;
import java.util.List;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A claim of this host: waiting for votes, or granted and kept so that it can be released.
 *
 * <p>Immutable and thread-safe.
 *
 * @param repeatKey the repeat key
 * @param started when the check began
 * @param lastSent when the claim was last sent
 * @param version the version that the votes were given under
 * @param votes the votes so far
 * @param decided whether the result was told
 */
record PendingClaim(
    String repeatKey,
    MonotonicTime started,
    MonotonicTime lastSent,
    long version,
    PMap<HostName, RepeatAnswer.Vote> votes,
    boolean decided) {

  static PendingClaim start(String repeatKey, MonotonicTime time, long version) {
    return new PendingClaim(repeatKey, time, time, version, HashTreePMap.empty(), false);
  }

  /** Returns this claim under another version of the host list; votes do not carry over. */
  PendingClaim under(long next) {
    return next == version
        ? this
        : new PendingClaim(repeatKey, started, lastSent, next, HashTreePMap.empty(), decided);
  }

  PendingClaim with(HostName member, RepeatAnswer.Vote vote) {
    return new PendingClaim(
        repeatKey, started, lastSent, version, votes.plus(member, vote), decided);
  }

  PendingClaim sentAgain(MonotonicTime time) {
    return new PendingClaim(repeatKey, started, time, version, votes, decided);
  }

  PendingClaim concluded() {
    return new PendingClaim(repeatKey, started, lastSent, version, votes, true);
  }

  boolean hasDuplicate() {
    return votes.containsValue(RepeatAnswer.Vote.DUPLICATE);
  }

  long grants() {
    return votes.values().stream().filter(vote -> vote == RepeatAnswer.Vote.GRANTED).count();
  }

  /** Returns the members that have not given a vote that counts. */
  List<HostName> missing(Collection<HostName> members) {
    return members.stream()
        .filter(
            member -> {
              RepeatAnswer.Vote vote = votes.get(member);
              return vote == null || vote == RepeatAnswer.Vote.DECLINED;
            })
        .toList();
  }
}
