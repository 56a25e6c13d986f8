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
 * The HTTP server of the administration port, with threads separate from those that serve callers.
 *
 * <p>Thread-safe. Several threads handle requests, so that one silent connection does not delay a
 * health check. A request that has not been received after {@value #REQUEST_TIMEOUT_SECONDS}
 * seconds is aborted. When the threads are busy and their bounded queue is full, the server rejects
 * a request by closing its connection.
 */
public final class AdministrationServer implements AutoCloseable {

  private static final int THREAD_COUNT = 4;
  private static final int QUEUE_CAPACITY_REQUESTS = 64;
  private static final int BACKLOG_CONNECTIONS = 64;
  private static final int REQUEST_TIMEOUT_SECONDS = 5;
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
            THREAD_COUNT,
            THREAD_COUNT,
            0,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(QUEUE_CAPACITY_REQUESTS),
            daemonThreadFactory());
  }

  /**
   * Opens the port and starts to handle requests.
   *
   * @param endpoint the endpoint to listen on; an address of this host
   * @param pages the pages, with distinct paths
   * @param log receives the failures of pages
   * @throws AdministrationException if the port cannot be opened
   */
  public static AdministrationServer start(
      Endpoint endpoint, List<AdministrationPage> pages, EventLog log) {
    AdministrationRouter router =
        new AdministrationRouter(pages, failure -> log.failure("administration_failed", failure));
    return start(new InetSocketAddress(endpoint.address(), endpoint.port()), router);
  }

  /** Opens the port at a socket address; port zero selects any free port. */
  static AdministrationServer start(InetSocketAddress address, AdministrationRouter router) {
    System.setProperty(REQUEST_TIME_PROPERTY, Integer.toString(REQUEST_TIMEOUT_SECONDS));
    System.setProperty(RESPONSE_TIME_PROPERTY, Integer.toString(REQUEST_TIMEOUT_SECONDS));
    try {
      HttpServer server = HttpServer.create(address, BACKLOG_CONNECTIONS);
      AdministrationServer administration = new AdministrationServer(server, router);
      server.setExecutor(administration.executor);
      server.createContext("/", administration::handle);
      server.start();
      return administration;
    } catch (IOException exception) {
      throw new AdministrationException(
          AdministrationException.CANNOT_LISTEN,
          "administration.endpoint: cannot listen on " + address + ": " + exception.getMessage(),
          exception);
    }
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return server.getAddress().getPort();
  }

  /** Closes the port and its connections. */
  @Override
  public void close() {
    server.stop(STOP_DELAY_SECONDS);
    executor.shutdownNow();
  }

  private void handle(HttpExchange exchange) throws IOException {
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

  private static ThreadFactory daemonThreadFactory() {
    AtomicInteger count = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, "administration-" + count.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }
}
