package org.parsleyhead.gateway.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import java.util.Map;
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
 * blocks. Received frames are acknowledged by an empty frame; a connection whose frames are not
 * acknowledged before a timeout is replaced when the next message is sent.
 */
public final class PeerSockets {

  private static final EventLog LOG = new EventLog("peers");
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 300;

  /** Covers many round trips between hosts. */
  private static final long ACKNOWLEDGEMENT_TIMEOUT_NANOSECONDS =
      TimeUnit.MILLISECONDS.toNanos(900);

  /** The maximum number of frames that wait for a connection to be established. */
  private static final int MAXIMUM_PENDING_FRAMES = 16;

  private final Sender self;
  private final PeerMessageCodec codec;
  private final EventLoopGroup eventLoops;
  private final Consumer<Envelope> receiver;
  private final Map<String, PeerConnection> connections = new HashMap<>();

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
    return new ServerBootstrap()
        .group(eventLoops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                addFrameCodec(channel);
                channel.pipeline().addLast(new IncomingFrameHandler(PeerSockets.this::decode));
              }
            })
        .bind(endpoint.address(), endpoint.port())
        .syncUninterruptibly()
        .channel();
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
      connection = new PeerConnection(MAXIMUM_PENDING_FRAMES);
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
                    addFrameCodec(channel);
                    channel.pipeline().addLast(new AcknowledgementHandler(connection));
                  }
                })
            .connect(target.address(), target.port());
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            connection.connected(connected.channel(), System.nanoTime());
            connected
                .channel()
                .closeFuture()
                .addListener(closed -> connections.remove(endpoint, connection));
          } else {
            connections.remove(endpoint, connection);
          }
        });
  }

  private void decode(byte[] frame) {
    try {
      receiver.accept(codec.decode(frame));
    } catch (CodecException exception) {
      LOG.warning("message_refused", "code", exception.code(), "bytes", frame.length);
    }
  }

  private static void addFrameCodec(SocketChannel channel) {
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(
                PeerMessageCodec.MAXIMUM_MESSAGE_BYTES + LENGTH_FIELD_BYTES,
                0,
                LENGTH_FIELD_BYTES,
                0,
                LENGTH_FIELD_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
  }

  /** Returns the frame that acknowledges received frames. */
  static ByteBuf acknowledgementFrame() {
    return Unpooled.EMPTY_BUFFER;
  }
}
