package org.parsleyhead.standin.tcp;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.standin.StandinException;

/**
 * One listening endpoint that can be closed and opened again.
 *
 * <p>Thread-safe; no method is called from an event loop. While it is closed, new connections are
 * refused and none is open.
 */
public final class TcpListener {

  private static final int BACKLOG = 4096;

  private final EventLoopGroup group;
  private final Endpoint endpoint;
  private final Consumer<SocketChannel> initializer;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel server;

  /**
   * Creates a listener that is not yet open.
   *
   * @param group runs the connections
   * @param endpoint where it listens
   * @param initializer prepares the pipeline of each accepted connection, on its event loop
   */
  public TcpListener(EventLoopGroup group, Endpoint endpoint, Consumer<SocketChannel> initializer) {
    this.group = group;
    this.endpoint = endpoint;
    this.initializer = initializer;
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
                initializer.accept(channel);
              }
            });
  }
}
