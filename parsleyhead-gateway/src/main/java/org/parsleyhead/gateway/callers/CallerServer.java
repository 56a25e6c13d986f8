package org.parsleyhead.gateway.callers;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.gateway.api.HttpDialect;

/**
 * Accepts the connections of callers.
 *
 * <p>Thread-safe; connections are confined to the event loop.
 */
public final class CallerServer {

  private static final int BACKLOG_CONNECTIONS = 1_024;
  private static final int MAXIMUM_INITIAL_LINE_BYTES = 8 << 10;
  private static final long PORT_CLOSE_TIMEOUT_MILLISECONDS = 200;
  private static final int MAXIMUM_CHUNK_BYTES = 64 << 10;

  private final HttpDialect dialect;
  private final CallerListener listener;
  private final Supplier<RequestLimits> limits;
  private final EventLoopGroup eventLoops;
  private final AtomicLong requestKeys = new AtomicLong();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final ChannelGroup ports = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  /** Creates a server whose port is not yet open. */
  public CallerServer(
      HttpDialect dialect,
      CallerListener listener,
      Supplier<RequestLimits> limits,
      EventLoopGroup eventLoops) {
    this.dialect = dialect;
    this.listener = listener;
    this.limits = limits;
    this.eventLoops = eventLoops;
  }

  /** Opens the port. */
  public Channel open(Endpoint endpoint) {
    Channel port =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    connections.add(channel);
                    channel.pipeline().addLast(codec());
                    channel
                        .pipeline()
                        .addLast(
                            new CallerConnection(
                                dialect,
                                listener,
                                limits,
                                requestKeys::incrementAndGet,
                                unanswered));
                  }
                })
            .bind(endpoint.address(), endpoint.port())
            .syncUninterruptibly()
            .channel();
    ports.add(port);
    return port;
  }

  /** Closes the port; connections that were accepted stay. */
  public void closePort() {
    ports.close().awaitUninterruptibly(PORT_CLOSE_TIMEOUT_MILLISECONDS);
  }

  /** Closes each connection as soon as all of its requests are answered. */
  public void closeIdle() {
    for (Channel channel : connections) {
      channel
          .eventLoop()
          .execute(
              () -> {
                ChannelHandlerContext context = channel.pipeline().context(CallerConnection.class);
                if (context != null) {
                  ((CallerConnection) context.handler()).closeWhenIdle();
                }
              });
    }
  }

  /**
   * Returns the number of requests that were received completely and whose response has not been
   * written to the socket completely, as long as their callers are connected.
   */
  public int unansweredRequests() {
    return unanswered.get();
  }

  private HttpServerCodec codec() {
    return new HttpServerCodec(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAXIMUM_INITIAL_LINE_BYTES)
            .setMaxHeaderSize(limits.get().maximumHeaderBytes())
            .setMaxChunkSize(MAXIMUM_CHUNK_BYTES));
  }
}
