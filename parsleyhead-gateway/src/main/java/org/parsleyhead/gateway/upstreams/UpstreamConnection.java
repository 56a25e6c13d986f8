package org.parsleyhead.gateway.upstreams;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * A connection to an instance, with what was sent and what was ignored on it.
 *
 * <p>Confined to the event loop. It carries each request identifier at most once: servers echo the
 * identifier, and a late second response to an earlier send could not be told from the response to
 * a later one. Each request is read by a codec of its own, so that no bytes that follow a response
 * become a part of the next one. The connection remembers the hash codes of all identifiers that it
 * carried; equal hash codes of different identifiers cost another connection.
 */
final class UpstreamConnection {

  /** Bounds the remembered hash codes to 1 KiB; then the connection is not used again. */
  static final int MAXIMUM_REQUESTS = 256;

  private static final int MAXIMUM_INITIAL_LINE_BYTES = 8 << 10;
  private static final int MAXIMUM_HEAD_BYTES = 64 << 10;
  private static final int MAXIMUM_CHUNK_BYTES = 64 << 10;
  private static final int INITIAL_CAPACITY = 4;
  private static final String NO_REQUEST = "-";

  private final Channel channel;
  private final long number;
  private final long openedAt = System.nanoTime();
  private int[] carriedHashCodes = new int[INITIAL_CAPACITY];
  private int requests;
  private int ignoredResponses;
  private String lastRequest = NO_REQUEST;
  private String formerRequest = NO_REQUEST;

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

  /**
   * Attaches the handler of an attempt, behind a codec that has read nothing yet, and records that
   * its request is written.
   */
  void attach(ChannelHandler attempt, String identifier, HttpMethod method) {
    requestWritten(identifier);
    IdleConnectionHandler.removeFrom(channel);
    UnansweredByteLimit.requestWritten(channel);
    channel.pipeline().addLast(codec(method)).addLast(attempt);
  }

  /**
   * Replaces the handler of an attempt whose response is complete; bytes that the codec has read
   * beyond the response are passed to the handler of the idle connection. Reading goes on if it was
   * stopped for a slow caller.
   */
  void detach(ChannelHandler attempt, IdleConnectionHandler idleHandler) {
    channel.pipeline().remove(attempt);
    channel.pipeline().addLast(idleHandler);
    channel.pipeline().remove(UpstreamCodec.class);
    channel.config().setAutoRead(true);
  }

  private static UpstreamCodec codec(HttpMethod method) {
    return new UpstreamCodec(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAXIMUM_INITIAL_LINE_BYTES)
            .setMaxHeaderSize(MAXIMUM_HEAD_BYTES)
            .setMaxChunkSize(MAXIMUM_CHUNK_BYTES),
        method);
  }

  /** Returns whether a request was written to it. */
  boolean hasCarriedRequest() {
    return requests > 0;
  }

  /** Returns whether a request with this identifier may be written to it. */
  boolean maySend(String identifier) {
    return !exhausted()
        && Arrays.stream(carriedHashCodes, 0, requests)
            .noneMatch(carried -> carried == identifier.hashCode());
  }

  /** Returns whether it has carried as many requests as it may. */
  boolean exhausted() {
    return requests >= MAXIMUM_REQUESTS;
  }

  /** Records that a request is written to it. */
  void requestWritten(String identifier) {
    if (requests == carriedHashCodes.length) {
      carriedHashCodes = Arrays.copyOf(carriedHashCodes, 2 * requests);
    }
    carriedHashCodes[requests] = identifier.hashCode();
    requests++;
    formerRequest = lastRequest;
    lastRequest = identifier;
  }

  /** Returns the identifier of the request that was written to it last. */
  String lastRequest() {
    return lastRequest;
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
            "former_request",
            formerRequest,
            "ignored",
            ignoredResponses);
    return Stream.concat(Arrays.stream(keysAndValues), own.stream()).toArray();
  }
}
