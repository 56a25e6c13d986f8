package org.parsleyhead.entry.configuration;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A configuration service on loopback with a scripted response for each path. Thread-safe. */
final class FakeService implements AutoCloseable {

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Map<String, Response> responses = new ConcurrentHashMap<>();
  private final List<String> requests = new CopyOnWriteArrayList<>();

  FakeService() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10);
    server.createContext("/", this::handle);
    server.setExecutor(threads);
    server.start();
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }

  void respond(String pathAndQuery, int status, long revision, byte[] body) {
    responses.put(pathAndQuery, new Response(status, revision, body));
  }

  List<String> requests() {
    return requests;
  }

  private void handle(HttpExchange exchange) throws IOException {
    String request = exchange.getRequestURI().toString();
    requests.add(request);
    Response response = responses.getOrDefault(request, new Response(404, 0, new byte[0]));
    if (response.status() == 0) {
      return;
    }
    exchange.getResponseHeaders().add("Revision", Long.toString(response.revision()));
    boolean empty = response.body().length == 0;
    exchange.sendResponseHeaders(response.status(), empty ? -1 : response.body().length);
    if (!empty) {
      exchange.getResponseBody().write(response.body());
    }
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  /** A scripted response; with status zero the request is never answered. */
  private record Response(int status, long revision, byte[] body) {}
}
