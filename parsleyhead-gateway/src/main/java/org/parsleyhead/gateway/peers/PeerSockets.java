package org.parsleyhead.gateway.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.codec.peer.PeerMessageCodec;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Sends messages to other hosts and passes their messages on.
 *
 * <p>Thread-safe; sockets are confined to the event loop. Messages may be lost, and sending never
 * blocks. Two hosts use one connection for both directions, whichever of them opened it. A received
 * frame is acknowledged by the next message or, after a delay, by an empty frame; a connection
 * whose frames are not acknowledged before a timeout is replaced when the next message is sent.
 */
public final class PeerSockets {

  private static final EventLog LOG = new EventLog("peers");
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 300;

  /** Covers many round trips between hosts. */
  private static final long ACKNOWLEDGEMENT_TIMEOUT_NANOSECONDS =
      TimeUnit.MILLISECONDS.toNanos(900);

  /** Longer than the interval between heartbeats, which acknowledge too. */
  private static final long ACKNOWLEDGEMENT_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(550);

  /** With the delay, shorter than the acknowledgement timeout. */
  private static final long ACKNOWLEDGEMENT_CHECK_MILLISECONDS = 150;

  /** The maximum number of frames that wait for a connection to be established. */
  private static final int MAXIMUM_PENDING_FRAMES = 16;

  private final Sender self;
  private final PeerMessageCodec codec;
  private final EventLoopGroup eventLoops;
  private final Consumer<Envelope> receiver;
  private final Map<String, PeerConnection> connections = new HashMap<>();
  private final Set<PeerConnection> open = new HashSet<>();

  /**
   * Creates sockets that are not yet open.
   *
   * @param self the sender of all messages
   * @param codec the encoding of messages
   * @param eventLoops a group of one event loop
   * @param receiver receives messages on the event loop; must not block
   */
  public PeerSockets(
      Sender self, PeerMessageCodec codec, EventLoopGroup eventLoops, Consumer<Envelope> receiver) {
    this.self = self;
    this.codec = codec;
    this.eventLoops = eventLoops;
    this.receiver = receiver;
  }

  /** Opens the port for connections from other hosts. */
  public Channel open(Endpoint endpoint) {
    eventLoops
        .next()
        .scheduleWithFixedDelay(
            this::acknowledge,
            ACKNOWLEDGEMENT_CHECK_MILLISECONDS,
            ACKNOWLEDGEMENT_CHECK_MILLISECONDS,
            TimeUnit.MILLISECONDS);
    return new ServerBootstrap()
        .group(eventLoops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                PeerConnection connection = PeerConnection.accepted(MAXIMUM_PENDING_FRAMES);
                initialize(channel, connection, frame -> decodeAccepted(connection, frame));
                connection.connected(channel, System.nanoTime());
              }
            })
        .bind(endpoint.address(), endpoint.port())
        .syncUninterruptibly()
        .channel();
  }

  private void acknowledge() {
    long now = System.nanoTime();
    for (PeerConnection connection : List.copyOf(open)) {
      connection.acknowledge(now, ACKNOWLEDGEMENT_DELAY_NANOSECONDS);
    }
  }

  /** Sends a message to the host at an endpoint, at most once. */
  public void send(String endpoint, PeerMessage message) {
    byte[] frame = codec.encode(new Envelope(self, message));
    eventLoops.execute(() -> write(endpoint, frame));
  }

  private void write(String endpoint, byte[] frame) {
    long now = System.nanoTime();
    PeerConnection connection = connections.get(endpoint);
    if (connection != null
        && connection.acknowledgementOverdue(now, ACKNOWLEDGEMENT_TIMEOUT_NANOSECONDS)) {
      connection.close();
      connections.remove(endpoint);
      connection = null;
    }
    if (connection == null) {
      connection = PeerConnection.opening(MAXIMUM_PENDING_FRAMES);
      connections.put(endpoint, connection);
      connect(endpoint, connection);
    }
    connection.write(frame, now);
  }

  private void connect(String endpoint, PeerConnection connection) {
    Endpoint target = Endpoint.parse(endpoint);
    ChannelFuture connected =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    initialize(channel, connection, PeerSockets.this::decode);
                  }
                })
            .connect(target.address(), target.port());
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            connection.connected(connected.channel(), System.nanoTime());
          } else {
            connections.remove(endpoint, connection);
          }
        });
  }

  /**
   * Decodes a frame of a connection that the other host has opened, and adopts the connection. If
   * both hosts have opened one, both use the one of the host whose endpoint comes first.
   */
  private void decodeAccepted(PeerConnection connection, byte[] frame) {
    decode(frame)
        .ifPresent(
            envelope -> {
              String endpoint = envelope.sender().host().text();
              PeerConnection current = connections.get(endpoint);
              boolean otherComesFirst = endpoint.compareTo(self.host().text()) < 0;
              if (current == null || otherComesFirst && current.openedHere()) {
                connections.put(endpoint, connection);
                if (current != null) {
                  current.close();
                }
              }
            });
  }

  private Optional<Envelope> decode(byte[] frame) {
    try {
      Envelope envelope = codec.decode(frame);
      receiver.accept(envelope);
      return Optional.of(envelope);
    } catch (CodecException exception) {
      LOG.warning("message_refused", "code", exception.code(), "bytes", frame.length);
      return Optional.empty();
    }
  }

  private void initialize(
      SocketChannel channel, PeerConnection connection, Consumer<byte[]> frames) {
    open.add(connection);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              open.remove(connection);
              connections.values().remove(connection);
            });
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(
                PeerMessageCodec.MAXIMUM_MESSAGE_BYTES + LENGTH_FIELD_BYTES,
                0,
                LENGTH_FIELD_BYTES,
                0,
                LENGTH_FIELD_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
        .addLast(new PeerFrameHandler(connection, frames));
  }
}
