package org.parsleyhead.core.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The servers that are cold, by the newest statement about each of them.
 *
 * <p>Immutable and thread-safe. A cold time ends by itself; expired entries have no effect.
 *
 * @param servers the cold servers, by identifier
 * @param sends the number of requests that this host has sent to cold servers
 */
public record ColdServers(PMap<String, ColdServer> servers, long sends) {

  /** No server is known to be cold. */
  public static final ColdServers NONE = new ColdServers(HashTreePMap.empty(), 0);

  /** Bounds a time that a server states; one that errs is used again without a restart. */
  private static final Duration MAXIMUM_COLD_TIME = Duration.ofMinutes(10);

  /**
   * Time after the end of an evacuation in which an announcement does not end the cold time: a
   * server may have written it before it knew that the evacuation had ended.
   */
  private static final Duration ANNOUNCEMENT_LAG = Duration.ofMillis(500);

  /**
   * Time from when a host counts as silent until another uses its share. The hosts do not detect
   * the silence at the same instant, so both could use the share otherwise.
   */
  private static final Duration TAKEOVER_DELAY = Duration.ofSeconds(1);

  /** Returns a server that is cold at an instant; empty if it is not. */
  public Optional<ColdServer> find(String identifier, MonotonicTime time) {
    return Optional.ofNullable(servers.get(identifier)).filter(server -> server.coldAt(time));
  }

  /** Returns the number of servers that are cold at an instant. */
  public long count(MonotonicTime time) {
    return servers.values().stream().filter(server -> server.coldAt(time)).count();
  }

  /**
   * Returns the servers after a newer announcement of one of them.
   *
   * @param coldFor how long it stays cold; zero if it is not cold
   * @param shares whether this host has a share of the sends to a server
   */
  public ColdServers announced(
      String identifier, Duration coldFor, Predicate<String> shares, MonotonicTime time) {
    if (!coldFor.isZero()) {
      return with(identifier, time.plus(bounded(coldFor)), time, shares, time);
    }
    ColdServer known = servers.get(identifier);
    return known == null || time.isBefore(known.settledAt())
        ? this
        : new ColdServers(servers.minus(identifier), sends);
  }

  /** Returns the servers after one of them has stated in a response how long it stays cold. */
  public ColdServers stated(
      String identifier, Duration coldFor, Predicate<String> shares, MonotonicTime time) {
    return coldFor.isZero()
        ? this
        : with(identifier, time.plus(bounded(coldFor)), time, shares, time);
  }

  /** Returns the servers after the evacuation of the failure domain of one of them has ended. */
  public ColdServers evacuationEnded(
      String identifier, Duration coldDuration, Predicate<String> shares, MonotonicTime time) {
    MonotonicTime end = time.plus(bounded(coldDuration));
    MonotonicTime until =
        find(identifier, time)
            .map(ColdServer::until)
            .filter(known -> end.isBefore(known))
            .orElse(end);
    return with(identifier, until, time.plus(ANNOUNCEMENT_LAG), shares, time);
  }

  /** Returns the servers after this host has sent a request to one of them. */
  public ColdServers sent(String identifier, Duration interval, MonotonicTime time) {
    ColdServer known = servers.get(identifier);
    return new ColdServers(servers.plus(identifier, known.withSent(interval, time)), sends + 1);
  }

  /** Returns the servers after the live hosts, and so the shares, have changed. */
  public ColdServers withShares(Predicate<String> shares, MonotonicTime time) {
    PMap<String, ColdServer> next = servers;
    for (var entry : servers.entrySet()) {
      boolean share = shares.test(entry.getKey());
      if (share != entry.getValue().share()) {
        next =
            next.plus(entry.getKey(), entry.getValue().withShare(share, time.plus(TAKEOVER_DELAY)));
      }
    }
    return next == servers ? this : new ColdServers(next, sends);
  }

  /** Returns the servers without those that are not cold any more. */
  public ColdServers withoutExpired(MonotonicTime time) {
    PMap<String, ColdServer> next = servers;
    for (var entry : servers.entrySet()) {
      if (!entry.getValue().coldAt(time)) {
        next = next.minus(entry.getKey());
      }
    }
    return next == servers ? this : new ColdServers(next, sends);
  }

  private ColdServers with(
      String identifier,
      MonotonicTime until,
      MonotonicTime settledAt,
      Predicate<String> shares,
      MonotonicTime time) {
    ColdServer known = servers.get(identifier);
    ColdServer next =
        known == null
            ? new ColdServer(until, settledAt, shares.test(identifier), time)
            : new ColdServer(until, settledAt, known.share(), known.nextSendAt());
    return new ColdServers(servers.plus(identifier, next), sends);
  }

  private static Duration bounded(Duration coldFor) {
    return coldFor.compareTo(MAXIMUM_COLD_TIME) < 0 ? coldFor : MAXIMUM_COLD_TIME;
  }
}
