package org.parsleyhead.entry.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.codec.peer.PeerMessageCodec;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Reads frames from a connection that another host opened.
 *
 * <p>Answers pings and passes messages on. A malformed frame closes the connection, and so does a
 * message whose sender is not on the host list or, if addresses are verified, is listed with
 * another address.
 *
 * <p>Confined to the event loop of its channel.
 */
final class IncomingHandler extends SimpleChannelInboundHandler<ByteBuf> {

  private static final EventLog LOG = new EventLog("peer_transport");

  private final PeerMessageCodec codec;
  private final Supplier<HostList> hostList;
  private final boolean verifyAddress;
  private final Consumer<Envelope> receiver;
  private final Consumer<LinkEvent> events;
  private final TransportCounters counters;
  private boolean reachabilityReported;

  IncomingHandler(
      PeerMessageCodec codec,
      Supplier<HostList> hostList,
      boolean verifyAddress,
      Consumer<Envelope> receiver,
      Consumer<LinkEvent> events,
      TransportCounters counters) {
    this.codec = codec;
    this.hostList = hostList;
    this.verifyAddress = verifyAddress;
    this.receiver = receiver;
    this.events = events;
    this.counters = counters;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    counters.bytesIn.add(Frames.HEADER_BYTES + frame.readableBytes());
    if (!frame.isReadable()) {
      counters.bytesOut.add(Frames.HEADER_BYTES);
      context.writeAndFlush(context.alloc().buffer(Frames.HEADER_BYTES).writeInt(0));
      return;
    }
    Envelope envelope = codec.decode(ByteBufUtil.getBytes(frame));
    if (!isListed(context, envelope)) {
      counters.refused.increment();
      LOG.warning("peer_refused", "host", envelope.sender().host());
      context.close();
      return;
    }
    if (!reachabilityReported) {
      reachabilityReported = true;
      events.accept(new LinkEvent.HostReachable(envelope.sender().host()));
    }
    counters.messagesIn.increment();
    receiver.accept(envelope);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof CodecException || cause instanceof DecoderException) {
      counters.malformed.increment();
      LOG.warning("peer_frame_malformed", "reason", cause.getMessage());
    }
    context.close();
  }

  private boolean isListed(ChannelHandlerContext context, Envelope envelope) {
    return hostList
        .get()
        .find(envelope.sender().host())
        .filter(host -> !verifyAddress || hasAddress(context, host))
        .isPresent();
  }

  private static boolean hasAddress(ChannelHandlerContext context, HostEntry host) {
    InetAddress address = ((InetSocketAddress) context.channel().remoteAddress()).getAddress();
    return address.getHostAddress().equals(host.peerEndpoint().address());
  }
}
