package org.parsleyhead.entry.peer;

import java.time.Duration;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Sender;

/**
 * The settings of the transport between entry hosts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the sender of all messages
 * @param listenEndpoint the endpoint to which other hosts connect
 * @param connectTimeout the maximum time to open a connection
 * @param pingInterval the minimum time between two pings on a connection that is written to
 * @param pingTimeout the time without an answer to a ping after which the connection is replaced
 * @param idleTimeout how long an incoming connection may be idle before it is closed, and how long
 *     the state of a closed outgoing connection is kept
 * @param tickInterval how often timeouts are checked and pings are sent
 * @param firstRetryDelay the delay after the first failed attempt; it doubles with each further one
 * @param maximumRetryDelay the upper bound of the delay between attempts
 * @param verifyAddress whether a message must come from the address that is listed for its sender
 */
public record PeerTransportSettings(
    Sender self,
    Endpoint listenEndpoint,
    Duration connectTimeout,
    Duration pingInterval,
    Duration pingTimeout,
    Duration idleTimeout,
    Duration tickInterval,
    Duration firstRetryDelay,
    Duration maximumRetryDelay,
    boolean verifyAddress) {

  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration DEFAULT_PING_INTERVAL = Duration.ofSeconds(2);
  private static final Duration DEFAULT_PING_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofMinutes(2);
  private static final Duration DEFAULT_TICK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DEFAULT_FIRST_RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration DEFAULT_MAXIMUM_RETRY_DELAY = Duration.ofSeconds(5);

  /** Validates the durations. */
  public PeerTransportSettings {
    Preconditions.requireNonNull(self, "self");
    Preconditions.requireNonNull(listenEndpoint, "peer_endpoint");
    Preconditions.requirePositive(connectTimeout.toMillis(), "connect_timeout");
    Preconditions.requirePositive(pingInterval.toMillis(), "ping_interval");
    Preconditions.requirePositive(pingTimeout.toMillis(), "ping_timeout");
    Preconditions.requirePositive(idleTimeout.toMillis(), "idle_timeout");
    Preconditions.requirePositive(tickInterval.toMillis(), "tick_interval");
    Preconditions.requirePositive(firstRetryDelay.toMillis(), "first_retry_delay");
    Preconditions.require(
        maximumRetryDelay.compareTo(firstRetryDelay) >= 0,
        "maximum_retry_delay",
        "must not be less than first_retry_delay");
  }

  /** Returns the default settings, with address verification. */
  public static PeerTransportSettings of(Sender self, Endpoint listenEndpoint) {
    return new PeerTransportSettings(
        self,
        listenEndpoint,
        DEFAULT_CONNECT_TIMEOUT,
        DEFAULT_PING_INTERVAL,
        DEFAULT_PING_TIMEOUT,
        DEFAULT_IDLE_TIMEOUT,
        DEFAULT_TICK_INTERVAL,
        DEFAULT_FIRST_RETRY_DELAY,
        DEFAULT_MAXIMUM_RETRY_DELAY,
        true);
  }
}
