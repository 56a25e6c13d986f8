package org.parsleyhead.core.placement;

import java.time.Duration;
import java.util.Collection;
import org.parsleyhead.core.api.Rendezvous;

/**
 * Decides which hosts may send requests to a cold server, and how often.
 *
 * <p>Answers servers that end if they receive their usual load right after a start. Two of the live
 * hosts share each server, so that one host that has ended does not leave the server unused. A host
 * that sees no majority of the hosts does not use cold servers: the hosts on the other side of a
 * partition may use them. Immutable and thread-safe.
 */
public final class ColdSends {

  /** The hosts that may send to one cold server. */
  private static final int SHARES = 2;

  /**
   * The part of the permitted rate that each of these hosts uses. The rest covers requests in
   * transit, whose distances at the server differ from those at the host.
   */
  private static final double RATE_FRACTION = 0.4;

  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Longer than a server stays cold, so that lower rates need not be represented. */
  private static final Duration MAXIMUM_INTERVAL = Duration.ofMinutes(10);

  private final PlacementSettings settings;

  /** Creates the decision for one host. */
  public ColdSends(PlacementSettings settings) {
    this.settings = settings;
  }

  /**
   * Returns whether this host has a share of the sends to a server: it sees a majority of the known
   * hosts and is one of the first two of the live ones, in an order that depends on the server.
   *
   * @param liveHosts the hosts that are alive, this one included; empty before any is known
   * @param knownHosts the number of known hosts, this one included
   */
  public boolean hasShare(String server, Collection<String> liveHosts, int knownHosts) {
    if (knownHosts <= 1) {
      return !settings.expectsPeers();
    }
    return 2 * liveHosts.size() > knownHosts
        && Rendezvous.order(server, liveHosts).stream()
            .limit(SHARES)
            .anyMatch(settings.self()::equals);
  }

  /**
   * Returns the minimum time between two requests of this host to one cold server.
   *
   * @param requestsPerSecond what the server accepts while it is cold, from all hosts together
   */
  public static Duration interval(double requestsPerSecond) {
    double nanoseconds = NANOSECONDS_PER_SECOND / (RATE_FRACTION * requestsPerSecond);
    return Duration.ofNanos((long) Math.min(nanoseconds, MAXIMUM_INTERVAL.toNanos()));
  }
}
