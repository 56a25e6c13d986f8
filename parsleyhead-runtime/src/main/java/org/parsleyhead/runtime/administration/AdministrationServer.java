package org.parsleyhead.runtime.administration;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.runtime.log.EventLog;

/**
 * The operators' port: a small HTTP server with threads of its own, apart from the callers' path.
 *
 * <p>Thread-safe. A few threads answer, so that one silent connection does not hold up a check; a
 * request that has not arrived after {@value #MAXIMUM_REQUEST_SECONDS} seconds is cut off. What the
 * threads and their bounded queue cannot take is refused by closing the connection.
 */
public final class AdministrationServer implements AutoCloseable {

  private static final int THREADS = 4;
  private static final int QUEUE_CAPACITY_REQUESTS = 64;
  private static final int BACKLOG_CONNECTIONS = 64;
  private static final int MAXIMUM_REQUEST_SECONDS = 5;
  private static final int STOP_DELAY_SECONDS = 0;
  private static final String REQUEST_TIME_PROPERTY = "sun.net.httpserver.maxReqTime";
  private static final String RESPONSE_TIME_PROPERTY = "sun.net.httpserver.maxRspTime";

  private final HttpServer server;
  private final ThreadPoolExecutor executor;
  private final AdministrationRouter router;

  private AdministrationServer(HttpServer server, AdministrationRouter router) {
    this.server = server;
    this.router = router;
    this.executor =
        new ThreadPoolExecutor(
            THREADS,
            THREADS,
            0,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(QUEUE_CAPACITY_REQUESTS),
            daemonThreads());
  }

  /**
   * Opens the port and starts to answer.
   *
   * @param endpoint where to listen; an address of this host
   * @param pages the pages, with distinct paths
   * @param log is told of pages that fail
   * @throws AdministrationException if the port cannot be opened
   */
  public static AdministrationServer start(
      Endpoint endpoint, List<AdministrationPage> pages, EventLog log) {
    AdministrationRouter router =
        new AdministrationRouter(pages, failure -> log.failure("administration_failed", failure));
    return start(new InetSocketAddress(endpoint.address(), endpoint.port()), router);
  }

  /** Opens the port at a socket address; port zero takes any free one. */
  static AdministrationServer start(InetSocketAddress address, AdministrationRouter router) {
    System.setProperty(REQUEST_TIME_PROPERTY, Integer.toString(MAXIMUM_REQUEST_SECONDS));
    System.setProperty(RESPONSE_TIME_PROPERTY, Integer.toString(MAXIMUM_REQUEST_SECONDS));
    try {
      HttpServer server = HttpServer.create(address, BACKLOG_CONNECTIONS);
      AdministrationServer administration = new AdministrationServer(server, router);
      server.setExecutor(administration.executor);
      server.createContext("/", administration::answer);
      server.start();
      return administration;
    } catch (IOException exception) {
      throw new AdministrationException(
          AdministrationException.CANNOT_LISTEN,
          "administration.endpoint: cannot listen on " + address + ": " + exception.getMessage(),
          exception);
    }
  }

  /** Returns the port that it listens on. */
  public int port() {
    return server.getAddress().getPort();
  }

  /** Closes the port and its connections. */
  @Override
  public void close() {
    server.stop(STOP_DELAY_SECONDS);
    executor.shutdownNow();
  }

  private void answer(HttpExchange exchange) throws IOException {
    try (exchange) {
      URI uri = exchange.getRequestURI();
      String query = uri.getRawQuery() == null ? "" : uri.getRawQuery();
      AdministrationResponse response =
          router.route(
              exchange.getRequestMethod(), new AdministrationRequest(uri.getPath(), query));
      byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", response.contentType());
      exchange.sendResponseHeaders(response.status(), body.length);
      try (OutputStream output = exchange.getResponseBody()) {
        output.write(body);
      }
    }
  }

  private static ThreadFactory daemonThreads() {
    AtomicInteger count = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, "administration-" + count.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }
}
