package org.parsleyhead.gateway.upstreams;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Closes an idle connection on which anything is received, since it belongs to no request.
 *
 * <p>Confined to the event loop.
 */
final class IdleConnectionHandler extends ChannelInboundHandlerAdapter {

  private static final EventLog LOG = new EventLog("upstreams");

  private final Instance instance;
  private final UpstreamConnection connection;
  private final IdleConnectionPool pool;
  private boolean received;

  IdleConnectionHandler(Instance instance, UpstreamConnection connection, IdleConnectionPool pool) {
    this.instance = instance;
    this.connection = connection;
    this.pool = pool;
  }

  /** Removes the handler from a connection that is reused. */
  static void removeFrom(Channel channel) {
    if (channel.pipeline().get(IdleConnectionHandler.class) != null) {
      channel.pipeline().remove(IdleConnectionHandler.class);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ReferenceCountUtil.release(message);
    if (!received) {
      received = true;
      connection.responseIgnored();
      LOG.request(
          "unexpected_bytes",
          connection.describe(
              "instance", instance.identifier(), "last_request", connection.lastRequest()));
    }
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pool.remove(instance, connection);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
