package org.parsleyhead.gateway.upstreams;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * A connection to an instance, with what was sent and what was ignored on it.
 *
 * <p>Confined to the event loop.
 */
final class UpstreamConnection {

  private static final String NO_REQUEST = "-";

  private final Channel channel;
  private final long number;
  private final long openedAt = System.nanoTime();
  private int requests;
  private int ignoredResponses;
  private String lastRequest = NO_REQUEST;

  /**
   * Creates a connection on which nothing was sent yet.
   *
   * @param number identifies the connection in the log of this process
   */
  UpstreamConnection(Channel channel, long number) {
    this.channel = channel;
    this.number = number;
  }

  Channel channel() {
    return channel;
  }

  /** Returns whether a request was written to it before. */
  boolean used() {
    return requests > 0;
  }

  /** Records that a request is written to it. */
  void requestWritten(String identifier) {
    requests++;
    lastRequest = identifier;
  }

  /** Records that a response was ignored that belongs to no request under way. */
  void responseIgnored() {
    ignoredResponses++;
  }

  /** Returns keys and values for a log line, after those given. */
  Object[] describe(Object... keysAndValues) {
    List<Object> own =
        List.of(
            "connection",
            number,
            "age_ms",
            Duration.ofNanos(System.nanoTime() - openedAt).toMillis(),
            "requests",
            requests,
            "last_request",
            lastRequest,
            "ignored",
            ignoredResponses);
    return Stream.concat(Arrays.stream(keysAndValues), own.stream()).toArray();
  }
}
