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
 * A TCP proxy that injects faults between callers and a target.
 *
 * <p>Thread-safe. Methods that open, close or change the listener block and must not be called from
 * an event loop. Each caller connection has its own connection to the target.
 */
public final class FaultProxy implements AutoCloseable {

  /** Exceeds the connections that wait for an event loop at a time. */
  private static final int BACKLOG = 64;

  private final String name;
  private final MonotonicClock clock;
  private final TcpListener listener;
  private final QueueFiller queueFiller = new QueueFiller();
  private final Set<ProxyConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile Endpoint target;
  private volatile ProxyFault newConnectionFault;

  /**
   * Creates a proxy whose listener is not yet open.
   *
   * @param name the name of the proxy
   * @param endpoint the endpoint to bind
   * @param target the endpoint to connect to
   * @param initialFault the initial fault
   * @param group the event loops of the connections
   * @param clock the monotonic clock
   */
  public FaultProxy(
      String name,
      Endpoint endpoint,
      Endpoint target,
      ProxyFault initialFault,
      EventLoopGroup group,
      MonotonicClock clock) {
    this.name = name;
    this.target = target;
    this.newConnectionFault = initialFault;
    this.clock = clock;
    this.listener = new TcpListener(group, endpoint, BACKLOG, this::accept);
  }

  /** Returns the name. */
  public String name() {
    return name;
  }

  /** Returns the endpoint to bind. */
  public Endpoint endpoint() {
    return listener.endpoint();
  }

  /** Returns the number of open caller connections. */
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

  /** Sets the target of new connections. */
  public void setTarget(Endpoint newTarget) {
    target = newTarget;
  }

  /**
   * Applies a fault to the connections in its scope. Opens the listener, or closes it if the fault
   * cuts all connections.
   */
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

  /** Sets what happens to callers that open a connection; the open ones are not affected. */
  public synchronized void setIntake(Intake intake) {
    listener.setAccepting(intake == Intake.ACCEPTING);
    queueFiller.close();
    if (intake == Intake.IGNORING) {
      queueFiller.fill(listener.endpoint(), 2 * BACKLOG);
    }
  }

  @Override
  public synchronized void close() {
    queueFiller.close();
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
