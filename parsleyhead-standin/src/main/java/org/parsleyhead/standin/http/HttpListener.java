package org.parsleyhead.standin.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.standin.tcp.TcpListener;

/**
 * One listening endpoint for HTTP/1.1 that can be closed and opened again.
 *
 * <p>Thread-safe; no method is called from an event loop. While it is closed, new connections are
 * refused and none is open.
 */
public final class HttpListener {

  private static final int MAX_BODY_BYTES = 16 << 20;

  private final HttpRequestHandler handler;
  private final TcpListener listener;

  /** Creates a listener that is not yet open. */
  public HttpListener(EventLoopGroup group, Endpoint endpoint, HttpRequestHandler handler) {
    this.handler = handler;
    this.listener = new TcpListener(group, endpoint, this::initialize);
  }

  /** Returns the endpoint. */
  public Endpoint endpoint() {
    return listener.endpoint();
  }

  /**
   * Opens the listener; does nothing if it is open.
   *
   * @throws org.parsleyhead.standin.StandinException if the endpoint cannot be bound
   */
  public void open() {
    listener.open();
  }

  /** Closes the listener and all its connections; does nothing if it is closed. */
  public void close() {
    listener.close();
  }

  private void initialize(SocketChannel channel) {
    channel
        .pipeline()
        .addLast(new HttpServerCodec())
        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
        .addLast(new RequestChannelHandler(handler));
  }
}
