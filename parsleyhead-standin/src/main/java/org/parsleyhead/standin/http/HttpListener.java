package org.parsleyhead.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.standin.StandinException;

/**
 * One listening endpoint that can be closed and opened again.
 *
 * <p>Thread-safe. While it is closed, new connections are refused and none is open.
 */
public final class HttpListener {

  private static final int MAXIMUM_BODY_BYTES = 16 << 20;
  private static final int BACKLOG = 4096;

  private final EventLoopGroup group;
  private final Endpoint endpoint;
  private final CallHandler handler;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel server;

  /** Creates a listener that is not yet open. */
  public HttpListener(EventLoopGroup group, Endpoint endpoint, CallHandler handler) {
    this.group = group;
    this.endpoint = endpoint;
    this.handler = handler;
  }

  /** Returns the endpoint. */
  public Endpoint endpoint() {
    return endpoint;
  }

  /**
   * Opens the listener; does nothing if it is open.
   *
   * @throws StandinException if the endpoint cannot be bound
   */
  public synchronized void open() {
    if (server != null) {
      return;
    }
    try {
      server =
          bootstrap()
              .bind(new InetSocketAddress(endpoint.address(), endpoint.port()))
              .syncUninterruptibly()
              .channel();
    } catch (RuntimeException exception) {
      throw new StandinException(
          StandinException.LISTENER_FAILED,
          "cannot listen on " + endpoint + ": " + exception.getMessage(),
          exception);
    }
  }

  /** Closes the listener and all its connections; does nothing if it is closed. */
  public synchronized void close() {
    if (server == null) {
      return;
    }
    server.close().syncUninterruptibly();
    server = null;
    connections.close().awaitUninterruptibly();
  }

  private ServerBootstrap bootstrap() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                connections.add(channel);
                channel
                    .pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                    .addLast(new CallChannelHandler(handler));
              }
            });
  }
}
