package org.parsleyhead.standin.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.standin.tcp.TcpListener;

/**
 * An HTTP/1.1 listener that can be closed and reopened.
 *
 * <p>Thread-safe. {@link #open()} and {@link #close()} block and must not be called from an event
 * loop. While the listener is closed, new connections are refused and no accepted one is open.
 */
public final class HttpListener {

  private static final int MAXIMUM_BODY_BYTES = 16 << 20;

  private final HttpRequestHandler handler;
  private final TcpListener listener;

  /** Creates a closed listener. */
  public HttpListener(EventLoopGroup group, Endpoint endpoint, HttpRequestHandler handler) {
    this.handler = handler;
    this.listener = new TcpListener(group, endpoint, this::initialize);
  }

  /** Returns the endpoint to bind. */
  public Endpoint endpoint() {
    return listener.endpoint();
  }

  /**
   * Binds the endpoint; does nothing if the listener is open.
   *
   * @throws org.parsleyhead.standin.StandinException if the endpoint cannot be bound
   */
  public void open() {
    listener.open();
  }

  /** Closes the listener and all accepted connections; does nothing if the listener is closed. */
  public void close() {
    listener.close();
  }

  private void initialize(SocketChannel channel) {
    channel
        .pipeline()
        .addLast(new HttpServerCodec())
        .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
        .addLast(new RequestChannelHandler(handler));
  }
}
