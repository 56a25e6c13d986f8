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
 * A TCP listener that can be closed and reopened.
 *
 * <p>Thread-safe. Methods that open, close or change the listener block and must not be called from
 * an event loop. While the listener is closed, new connections are refused and no accepted one is
 * open.
 */
public final class TcpListener {

  private static final int DEFAULT_BACKLOG = 4096;

  private final EventLoopGroup group;
  private final Endpoint endpoint;
  private final int backlog;
  private final Consumer<SocketChannel> initializer;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel server;

  /**
   * Creates a closed listener.
   *
   * @param group the event loops of the connections
   * @param endpoint the endpoint to bind
   * @param initializer sets up the pipeline of each accepted connection, on its event loop
   */
  public TcpListener(EventLoopGroup group, Endpoint endpoint, Consumer<SocketChannel> initializer) {
    this(group, endpoint, DEFAULT_BACKLOG, initializer);
  }

  /**
   * Creates a closed listener with a queue of its own length.
   *
   * @param group the event loops of the connections
   * @param endpoint the endpoint to bind
   * @param backlog how many connections the kernel completes before they are accepted
   * @param initializer sets up the pipeline of each accepted connection, on its event loop
   */
  public TcpListener(
      EventLoopGroup group, Endpoint endpoint, int backlog, Consumer<SocketChannel> initializer) {
    this.group = group;
    this.endpoint = endpoint;
    this.backlog = backlog;
    this.initializer = initializer;
  }

  /** Returns the endpoint to bind. */
  public Endpoint endpoint() {
    return endpoint;
  }

  /**
   * Binds the endpoint; does nothing if the listener is open.
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

  /**
   * Sets whether connections are accepted. Others wait in the queue of the kernel; does nothing if
   * the listener is closed, and a listener that is opened again accepts connections.
   */
  public synchronized void setAccepting(boolean accepting) {
    if (server != null) {
      Channel channel = server;
      channel
          .eventLoop()
          .submit(() -> channel.config().setAutoRead(accepting))
          .syncUninterruptibly();
    }
  }

  /** Closes the listener and all accepted connections; does nothing if the listener is closed. */
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
        .option(ChannelOption.SO_BACKLOG, backlog)
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
