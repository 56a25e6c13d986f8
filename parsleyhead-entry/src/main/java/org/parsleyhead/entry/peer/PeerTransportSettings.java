package org.parsleyhead.entry.peer;

import java.time.Duration;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Sender;

/**
 * The identity and the numbers of the transport between entry hosts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the host and run that messages are sent as
 * @param listenEndpoint where other hosts connect to
 * @param connectTimeout after what time an attempt to connect has failed
 * @param pingInterval how often a connection that is written to is pinged
 * @param silenceLimit after what time without an answer to a ping a connection is replaced
 * @param idleLimit after what time without traffic an incoming connection is closed
 * @param tickInterval how often connections are looked after
 * @param firstRetryDelay the delay after the first failed attempt; it doubles with each further one
 * @param maximumRetryDelay the longest delay between attempts
 * @param verifyAddress whether a message must come from the address that is listed for its sender
 */
public record PeerTransportSettings(
    Sender self,
    Endpoint listenEndpoint,
    Duration connectTimeout,
    Duration pingInterval,
    Duration silenceLimit,
    Duration idleLimit,
    Duration tickInterval,
    Duration firstRetryDelay,
    Duration maximumRetryDelay,
    boolean verifyAddress) {

  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration DEFAULT_PING_INTERVAL = Duration.ofSeconds(2);
  private static final Duration DEFAULT_SILENCE_LIMIT = Duration.ofSeconds(3);
  private static final Duration DEFAULT_IDLE_LIMIT = Duration.ofMinutes(2);
  private static final Duration DEFAULT_TICK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DEFAULT_FIRST_RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration DEFAULT_MAXIMUM_RETRY_DELAY = Duration.ofSeconds(5);

  /** Checks the numbers. */
  public PeerTransportSettings {
    Preconditions.requireNonNull(self, "self");
    Preconditions.requireNonNull(listenEndpoint, "peer_endpoint");
    Preconditions.requirePositive(connectTimeout.toMillis(), "connect_timeout");
    Preconditions.requirePositive(pingInterval.toMillis(), "ping_interval");
    Preconditions.requirePositive(silenceLimit.toMillis(), "silence_limit");
    Preconditions.requirePositive(idleLimit.toMillis(), "idle_limit");
    Preconditions.requirePositive(tickInterval.toMillis(), "tick_interval");
    Preconditions.requirePositive(firstRetryDelay.toMillis(), "first_retry_delay");
    Preconditions.require(
        maximumRetryDelay.compareTo(firstRetryDelay) >= 0,
        "maximum_retry_delay",
        "must not be less than first_retry_delay");
  }

  /** Returns the settings with the usual numbers. */
  public static PeerTransportSettings of(Sender self, Endpoint listenEndpoint) {
    return new PeerTransportSettings(
        self,
        listenEndpoint,
        DEFAULT_CONNECT_TIMEOUT,
        DEFAULT_PING_INTERVAL,
        DEFAULT_SILENCE_LIMIT,
        DEFAULT_IDLE_LIMIT,
        DEFAULT_TICK_INTERVAL,
        DEFAULT_FIRST_RETRY_DELAY,
        DEFAULT_MAXIMUM_RETRY_DELAY,
        true);
  }
}
