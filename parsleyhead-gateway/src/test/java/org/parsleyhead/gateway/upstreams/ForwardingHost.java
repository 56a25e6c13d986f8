package org.parsleyhead.gateway.upstreams;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.dispatch.AttemptResult;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.dispatch.ServingRequest;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.gateway.callers.CallerListener;
import org.parsleyhead.gateway.callers.CallerServer;
import org.parsleyhead.gateway.callers.Exchange;

/**
 * The sockets of a host that sends every request to one server and records the events.
 *
 * <p>Thread-safe. Paths that start with {@code /stream} are resumable streams, others are plain and
 * may be repeated.
 */
final class ForwardingHost implements AutoCloseable {

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("test-sockets", true), NioIoHandler.newFactory());
  private final BlockingQueue<DispatchEvent> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<ServingRequest> requests = new LinkedBlockingQueue<>();
  private final UpstreamClient client;
  private final int port;

  /** Handles the end of an attempt. Called on the event loop. */
  @FunctionalInterface
  interface AttemptEndAction {

    /** Handles the end of the attempt for an exchange, which may already be answered. */
    void attemptEnded(Exchange exchange, AttemptResult result);
  }

  /** Creates a host that delivers complete successes only. */
  ForwardingHost(int serverPort) throws IOException {
    this(serverPort, (exchange, result) -> {});
  }

  /** Creates a host that runs an action at the end of each attempt. */
  ForwardingHost(int serverPort, AttemptEndAction onAttemptEnd) throws IOException {
    FakeHttpDialect dialect = new FakeHttpDialect();
    Map<Long, Exchange> exchanges = new HashMap<>();
    AttemptListener attemptListener =
        event -> {
          events.add(event);
          if (event instanceof DispatchEvent.AttemptEnded ended) {
            onAttemptEnd.attemptEnded(exchanges.remove(ended.requestKey()), ended.result());
          }
        };
    this.client = new UpstreamClient(dialect, attemptListener, eventLoops);
    CallerListener listener =
        new CallerListener() {
          @Override
          public boolean requestReceived(Exchange exchange) {
            exchanges.put(exchange.request().key(), exchange);
            client.send(send(exchange, serverPort), exchange);
            requests.add(exchange.request());
            return true;
          }

          @Override
          public void callerDisconnected(Exchange exchange) {
            client.cancel(exchange.request().key(), 1);
          }

          @Override
          public void requestRejected(int status, String reason) {}
        };
    CallerServer server =
        new CallerServer(dialect, listener, () -> RequestLimits.INITIAL, eventLoops);
    this.port = openOnFreePort(server);
  }

  /** Opens a connection. */
  Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), port);
  }

  /** Opens a connection and writes one request. */
  Socket request(String path, String identifier) throws IOException {
    return request("GET", path, identifier);
  }

  /** Opens a connection and writes one request with a method. */
  Socket request(String method, String path, String identifier) throws IOException {
    Socket socket = connect();
    request(socket, method, path, identifier);
    return socket;
  }

  /** Writes one more request to a connection. */
  void request(Socket socket, String path, String identifier) throws IOException {
    request(socket, "GET", path, identifier);
  }

  /** Writes one more request with a method to a connection. */
  void request(Socket socket, String method, String path, String identifier) throws IOException {
    String head = method + " " + path + " HTTP/1.1\r\nHost: host\r\nId: " + identifier + "\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Returns the next event; fails if there is none in time. */
  DispatchEvent nextEvent() throws InterruptedException {
    DispatchEvent event = events.poll(20, TimeUnit.SECONDS);
    if (event == null) {
      throw new AssertionError("no event");
    }
    return event;
  }

  /** Returns the result of the next attempt that ends; skips other events. */
  DispatchEvent.AttemptEnded nextEnd() throws InterruptedException {
    while (true) {
      if (nextEvent() instanceof DispatchEvent.AttemptEnded ended) {
        return ended;
      }
    }
  }

  /** Returns the next request that was sent; fails if there is none in time. */
  ServingRequest nextRequest() throws InterruptedException {
    ServingRequest request = requests.poll(20, TimeUnit.SECONDS);
    if (request == null) {
      throw new AssertionError("no request");
    }
    return request;
  }

  /** Withdraws the attempt at a request, and returns once that is done. */
  void withdraw(ServingRequest request, boolean answering) throws Exception {
    eventLoops
        .submit(
            () ->
                client.withdraw(
                    new DispatchEffect.WithdrawAttempt(request, 1, answering, "silent")))
        .get(20, TimeUnit.SECONDS);
  }

  /** Returns the bytes of responses that are buffered. */
  long bufferedBytes() throws Exception {
    return eventLoops.submit(client::bufferedBytes).get(20, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static int openOnFreePort(CallerServer server) throws IOException {
    int port = freePort();
    server.open(new Endpoint("127.0.0.1", port));
    return port;
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  private static DispatchEffect.Send send(Exchange exchange, int serverPort) {
    boolean stream = exchange.request().path().startsWith("/stream");
    Instance instance =
        new Instance(
            "server",
            1,
            "service",
            new Endpoint("127.0.0.1", serverPort),
            new FailureDomainName("near"),
            8,
            false,
            Set.of(),
            Map.of(),
            1);
    return new DispatchEffect.Send(
        exchange.request(),
        1,
        instance,
        Duration.ofSeconds(10),
        5,
        Optional.empty(),
        stream,
        true,
        0,
        "");
  }
}
