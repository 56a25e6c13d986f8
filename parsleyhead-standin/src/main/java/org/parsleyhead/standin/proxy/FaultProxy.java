package org.parsleyhead.standin.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.standin.tcp.TcpListener;

/**
 * A TCP proxy between callers and one target that injects faults.
 *
 * <p>Thread-safe; no method is called from an event loop. Each connection of a caller has one
 * connection to the target.
 */
public final class FaultProxy implements AutoCloseable {

  private final String name;
  private final MonotonicClock clock;
  private final TcpListener listener;
  private final Set<ProxyConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile Endpoint target;
  private volatile ProxyFault newConnectionFault;

  /**
   * Creates a proxy that is not yet open.
   *
   * @param name its name
   * @param endpoint where it listens
   * @param target where it connects to
   * @param initial the fault from the start
   * @param group runs the connections
   * @param clock the monotonic clock
   */
  public FaultProxy(
      String name,
      Endpoint endpoint,
      Endpoint target,
      ProxyFault initial,
      EventLoopGroup group,
      MonotonicClock clock) {
    this.name = name;
    this.target = target;
    this.newConnectionFault = initial;
    this.clock = clock;
    this.listener = new TcpListener(group, endpoint, this::accept);
  }

  /** Returns the name. */
  public String name() {
    return name;
  }

  /** Returns where it listens. */
  public Endpoint endpoint() {
    return listener.endpoint();
  }

  /** Returns how many connections are open. */
  public int openConnections() {
    return connections.size();
  }

  /**
   * Opens the listener.
   *
   * @throws org.parsleyhead.standin.StandinException if the endpoint cannot be bound
   */
  public void open() {
    listener.open();
  }

  /** Sets where new connections lead to. */
  public void setTarget(Endpoint newTarget) {
    target = newTarget;
  }

  /** Puts a fault in force for the connections of its scope. */
  public void applyFault(ProxyFault fault) {
    if (fault.scope().includesNew()) {
      newConnectionFault = fault;
    }
    if (fault.scope().includesOpen()) {
      connections.forEach(connection -> connection.applyFault(fault));
    }
    if (fault.cut() && fault.scope() == ProxyFault.Scope.ALL) {
      listener.close();
    } else {
      listener.open();
    }
  }

  @Override
  public void close() {
    listener.close();
  }

  private void accept(SocketChannel caller) {
    ProxyFault fault = newConnectionFault;
    if (fault.cut()) {
      caller.close();
      return;
    }
    caller.config().setAutoRead(false);
    ProxyConnection connection = new ProxyConnection(caller, fault, clock);
    connections.add(connection);
    caller
        .pipeline()
        .addLast(new ForwardingHandler(connection::receiveFromCaller, connection::callerClosed));
    caller.closeFuture().addListener(future -> connections.remove(connection));
    connect(caller, connection);
  }

  private void connect(SocketChannel caller, ProxyConnection connection) {
    Endpoint destination = target;
    ChannelFuture connecting =
        new Bootstrap()
            .group(caller.eventLoop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .handler(new ForwardingHandler(connection::receiveFromTarget, connection::targetClosed))
            .connect(new InetSocketAddress(destination.address(), destination.port()));
    connecting.addListener(
        future -> {
          if (future.isSuccess()) {
            connection.targetConnected(connecting.channel());
          } else {
            caller.close();
          }
        });
  }
}
