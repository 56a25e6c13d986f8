package org.parsleyhead.entry.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.codec.peer.PeerMessageCodec;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Executes the effects of {@link LinkTransition} on Netty channels.
 *
 * <p>Thread-safe: effects arrive on the thread of the duty, completions on the event loops.
 */
final class LinkEffectExecutor implements Consumer<LinkEffect> {

  private static final EventLog LOG = new EventLog("peer_transport");
  private static final int LOW_WATER_MARK_BYTES = 1 << 20;
  private static final int HIGH_WATER_MARK_BYTES = 16 << 20;

  private final PeerTransportSettings settings;
  private final PeerMessageCodec codec;
  private final EventLoopGroup eventLoops;
  private final Consumer<LinkEvent> events;
  private final TransportCounters counters;
  private final Map<Long, Channel> channels = new ConcurrentHashMap<>();

  LinkEffectExecutor(
      PeerTransportSettings settings,
      PeerMessageCodec codec,
      EventLoopGroup eventLoops,
      Consumer<LinkEvent> events,
      TransportCounters counters) {
    this.settings = settings;
    this.codec = codec;
    this.eventLoops = eventLoops;
    this.events = events;
    this.counters = counters;
  }

  @Override
  public void accept(LinkEffect effect) {
    if (effect instanceof LinkEffect.Write write) {
      write(write);
    } else if (effect instanceof LinkEffect.Connect connect) {
      connect(connect.host(), connect.link(), connect.endpoint());
    } else if (effect instanceof LinkEffect.Ping ping) {
      ping(ping);
    } else if (effect instanceof LinkEffect.Close close) {
      close(close);
    } else if (effect instanceof LinkEffect.Drop drop) {
      counters.dropped.add(drop.messages());
    }
  }

  private void connect(HostName host, long link, Endpoint endpoint) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeout().toMillis())
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            Frames.decoder(), new OutgoingHandler(host, link, events, counters));
                  }
                })
            .connect(endpoint.address(), endpoint.port());
    channels.put(link, connecting.channel());
    connecting.channel().closeFuture().addListener(closed -> channels.remove(link));
    connecting.addListener(done -> connected(host, link, done.isSuccess()));
  }

  private void connected(HostName host, long link, boolean success) {
    if (success) {
      counters.connections.increment();
      events.accept(new LinkEvent.Connected(host, link));
    } else {
      events.accept(new LinkEvent.Closed(host, link));
    }
  }

  private void write(LinkEffect.Write write) {
    Channel channel = channels.get(write.link());
    if (channel == null || !channel.isActive()) {
      counters.dropped.increment();
      events.accept(new LinkEvent.Closed(write.host(), write.link()));
      return;
    }
    if (!channel.isWritable()) {
      counters.dropped.increment();
      return;
    }
    byte[] bytes = encode(write.message());
    ByteBuf frame = channel.alloc().buffer(Frames.HEADER_BYTES + bytes.length);
    channel.writeAndFlush(frame.writeInt(bytes.length).writeBytes(bytes));
    counters.messagesOut.increment();
    counters.bytesOut.add(Frames.HEADER_BYTES + bytes.length);
  }

  private byte[] encode(PeerMessage message) {
    try {
      return codec.encode(new Envelope(settings.self(), message));
    } catch (CodecException exception) {
      counters.dropped.increment();
      throw exception;
    }
  }

  private void ping(LinkEffect.Ping ping) {
    Channel channel = channels.get(ping.link());
    if (channel == null || !channel.isActive()) {
      events.accept(new LinkEvent.Closed(ping.host(), ping.link()));
      return;
    }
    counters.bytesOut.add(Frames.HEADER_BYTES);
    channel.writeAndFlush(channel.alloc().buffer(Frames.HEADER_BYTES).writeInt(0));
  }

  private void close(LinkEffect.Close close) {
    if (close.unresponsive()) {
      counters.replaced.increment();
      LOG.warning("peer_connection_silent", "link", close.link());
    }
    Channel channel = channels.get(close.link());
    if (channel != null) {
      channel.close();
    }
  }
}
