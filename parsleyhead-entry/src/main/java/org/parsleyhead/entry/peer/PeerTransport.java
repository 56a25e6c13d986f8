package org.parsleyhead.entry.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.codec.peer.PeerMessageCodec;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Exchanges messages with other entry hosts.
 *
 * <p>Messages are sent to and accepted from hosts on the host list only. Delivery is best effort:
 * messages may be lost, delayed and, when a connection is replaced, reordered. Sending never
 * blocks.
 *
 * <p>Thread-safe. One duty thread manages the connections, encodes and writes; event loops read.
 */
public final class PeerTransport implements AutoCloseable {

  private static final EventLog LOG = new EventLog("peer_transport");
  private static final int EVENT_LOOPS = 2;
  private static final int RING_CAPACITY = 4_096;
  private static final int ACCEPT_BACKLOG = 512;
  private static final long SHUTDOWN_QUIET_PERIOD_MILLISECONDS = 50;
  private static final long SHUTDOWN_TIMEOUT_MILLISECONDS = 1_000;

  private final Supplier<HostList> hostList;
  private final TransportCounters counters = new TransportCounters();
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(
          EVENT_LOOPS,
          new DefaultThreadFactory("peer-event-loop", true),
          NioIoHandler.newFactory());
  private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Duty<LinkTransition.State, LinkEvent, LinkEffect> duty;
  private final Ring<LinkEvent> ring = new Ring<>("peer-sender", RING_CAPACITY);

  private PeerTransport(
      PeerTransportSettings settings,
      PeerMessageCodec codec,
      Supplier<HostList> hostList,
      MonotonicClock clock,
      LongSupplier randomNumbers) {
    this.hostList = hostList;
    LinkEffectExecutor executor =
        new LinkEffectExecutor(settings, codec, eventLoops, ring::offer, counters);
    this.duty =
        new Duty<>(
            ring,
            LinkTransition.State.INITIAL,
            new LinkTransition(settings),
            executor,
            () -> new LinkEvent.Tick(randomNumbers.getAsLong()),
            settings.tickInterval(),
            clock,
            failure -> LOG.failure("peer_send_failed", failure));
  }

  /**
   * Starts to listen for other hosts and to accept messages to send.
   *
   * @param settings the identity of this host and the timeouts of the transport
   * @param codec the codec of all messages that are sent and received
   * @param hostList supplies the latest host list; called from several threads
   * @param receiver receives the messages of other hosts; runs on event loops and must not block
   * @param clock the clock of the connection timeouts
   * @param randomNumbers supplies random numbers for retry delays
   * @throws PeerTransportException if the endpoint cannot be bound
   */
  public static PeerTransport start(
      PeerTransportSettings settings,
      PeerMessageCodec codec,
      Supplier<HostList> hostList,
      Consumer<Envelope> receiver,
      MonotonicClock clock,
      LongSupplier randomNumbers) {
    PeerTransport transport = new PeerTransport(settings, codec, hostList, clock, randomNumbers);
    transport.listen(settings, codec, receiver);
    transport.duty.start();
    return transport;
  }

  /**
   * Sends a message at most once, without waiting for its delivery.
   *
   * @return false if the message was dropped because the host is not listed or the ring is full;
   *     true does not imply delivery
   */
  public boolean send(HostName host, PeerMessage message) {
    Optional<Endpoint> endpoint = hostList.get().find(host).map(HostEntry::peerEndpoint);
    boolean accepted =
        endpoint.isPresent()
            && ring.offer(new LinkEvent.SendRequested(host, endpoint.get(), message));
    if (!accepted) {
      counters.dropped.increment();
    }
    return accepted;
  }

  /** Returns the totals since the transport was started. */
  public TransportStatistics statistics() {
    return counters.statistics();
  }

  /** Closes all connections and stops all threads. */
  @Override
  public void close() {
    duty.close();
    accepted.close();
    eventLoops
        .shutdownGracefully(
            SHUTDOWN_QUIET_PERIOD_MILLISECONDS,
            SHUTDOWN_TIMEOUT_MILLISECONDS,
            TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
  }

  private void listen(
      PeerTransportSettings settings, PeerMessageCodec codec, Consumer<Envelope> receiver) {
    Endpoint endpoint = settings.listenEndpoint();
    ServerBootstrap server =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accepted.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            new ReadTimeoutHandler(
                                settings.idleTimeout().toMillis(), TimeUnit.MILLISECONDS),
                            Frames.decoder(),
                            new IncomingHandler(
                                codec,
                                hostList,
                                settings.verifyAddress(),
                                receiver,
                                ring::offer,
                                counters));
                  }
                });
    try {
      Channel channel = server.bind(endpoint.address(), endpoint.port()).sync().channel();
      accepted.add(channel);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw bindFailed(endpoint, exception);
    } catch (Exception exception) {
      throw bindFailed(endpoint, exception);
    }
  }

  private PeerTransportException bindFailed(Endpoint endpoint, Exception cause) {
    eventLoops.shutdownGracefully();
    return new PeerTransportException(
        PeerTransportException.BIND_FAILED, "cannot listen on " + endpoint, cause);
  }
}
