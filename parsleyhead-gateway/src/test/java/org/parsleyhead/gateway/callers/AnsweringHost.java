package org.parsleyhead.gateway.callers;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchRefusal;
import org.parsleyhead.core.dispatch.ServingRequest;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.gateway.api.HttpDialect;
import org.parsleyhead.gateway.api.ResponseHead;

/** The sockets for callers of a host whose responses the test writes. Thread-safe. */
final class AnsweringHost implements AutoCloseable, CallerListener {

  private static final int SMALL_BUFFER_BYTES = 4_096;
  private static final int READ_TIMEOUT_MILLISECONDS = 20_000;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("test-sockets", true), NioIoHandler.newFactory());
  private final BlockingQueue<Exchange> received = new LinkedBlockingQueue<>();
  private final CallerServer server;
  private final int port;

  AnsweringHost() throws IOException {
    this(RequestLimits.INITIAL.idleTimeout());
  }

  AnsweringHost(Duration idleTimeout) throws IOException {
    RequestLimits limits =
        new RequestLimits(16 << 10, 4 << 20, RequestLimits.INITIAL.headerTimeout(), idleTimeout);
    this.server = new CallerServer(new PathDialect(), this, () -> limits, eventLoops);
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      this.port = free.getLocalPort();
    }
    server.open(new Endpoint("127.0.0.1", port));
  }

  @Override
  public boolean requestReceived(Exchange exchange) {
    received.add(exchange);
    return true;
  }

  @Override
  public void callerDisconnected(Exchange exchange) {}

  @Override
  public void requestRejected(int status, String reason) {}

  CallerServer server() {
    return server;
  }

  /** Opens a connection whose receive buffer is small, so that unread bytes stay with the host. */
  Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
    socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    return socket;
  }

  static void request(Socket socket, String path) throws IOException {
    String head = "GET " + path + " HTTP/1.1\r\nHost: host\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Returns the next request that was passed on; fails if there is none in time. */
  Exchange next() throws InterruptedException {
    Exchange exchange = received.poll(20, TimeUnit.SECONDS);
    if (exchange == null) {
      throw new AssertionError("no request");
    }
    return exchange;
  }

  /** Returns the number of requests that were passed on and not taken by the test yet. */
  int furtherRequests() {
    return received.size();
  }

  /** Runs an action on the event loop and waits for it. */
  void run(Runnable action) throws Exception {
    eventLoops.submit(action).get(20, TimeUnit.SECONDS);
  }

  /** Answers a request with a body. */
  void answer(Exchange exchange, byte[] body) throws Exception {
    run(() -> exchange.respond(HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE, body));
  }

  /** Closes the idle connections as a stop does, and waits until that is done. */
  void closeIdle() throws Exception {
    server.closeIdle();
    run(() -> {});
  }

  @Override
  public void close() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Takes the path from the request line. Stateless. */
  private static final class PathDialect implements HttpDialect {

    @Override
    public ServingRequest readRequest(long key, HttpRequest head) {
      return new ServingRequest(
          key, "", "host", head.uri(), Optional.empty(), Optional.empty(), Optional.empty());
    }

    @Override
    public HttpHeaders upstreamHeaders(
        HttpRequest head, DispatchEffect.Send send, Optional<String> lastEvent) {
      throw new UnsupportedOperationException("nothing is sent to an instance");
    }

    @Override
    public ResponseHead readResponse(HttpResponse response) {
      throw new UnsupportedOperationException("nothing is sent to an instance");
    }

    @Override
    public HttpHeaders callerHeaders(HttpResponse response) {
      throw new UnsupportedOperationException("nothing is sent to an instance");
    }

    @Override
    public HttpHeaders refusalHeaders(ServingRequest request, DispatchRefusal refusal) {
      return EmptyHttpHeaders.INSTANCE;
    }
  }
}
