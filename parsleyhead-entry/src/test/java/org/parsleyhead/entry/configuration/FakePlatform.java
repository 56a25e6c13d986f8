package org.parsleyhead.entry.configuration;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.parsleyhead.codec.json.HostListCodec;
import org.parsleyhead.codec.json.TicketCodec;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.core.ticket.Ticket;

/** A configuration and host list service on loopback that supports watches. Thread-safe. */
final class FakePlatform implements AutoCloseable {

  private static final Pattern WATCH =
      Pattern.compile("/v1/(watch/tickets/latest|hosts/watch)\\?\\w+=(\\d+)&.*=(\\d+)");

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Map<String, Value> values = new HashMap<>();
  private final AtomicInteger calls = new AtomicInteger();

  FakePlatform() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
    server.createContext("/", this::handle);
    server.setExecutor(threads);
    server.start();
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }

  int calls() {
    return calls.get();
  }

  synchronized void publish(Ticket ticket) {
    long number = ticket.number().value();
    values.put("/v1/values/tickets/" + number, new Value(number, TicketCodec.encodeWhole(ticket)));
    values.put(
        "watch/tickets/latest", new Value(number, TicketCodec.encodeLatest(ticket.number())));
    notifyAll();
  }

  synchronized void publish(HostList list) {
    values.put("hosts/watch", new Value(list.version(), HostListCodec.encode(list)));
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    calls.incrementAndGet();
    String request = exchange.getRequestURI().toString();
    Matcher watch = WATCH.matcher(request);
    Value value = watch.matches() ? await(watch) : find(request);
    if (value == null) {
      exchange.sendResponseHeaders(watch.matches() ? 304 : 404, -1);
    } else {
      exchange.getResponseHeaders().add("Revision", Long.toString(value.revision()));
      exchange.sendResponseHeaders(200, value.body().length);
      exchange.getResponseBody().write(value.body());
    }
    exchange.close();
  }

  private synchronized Value find(String path) {
    return values.get(path);
  }

  private synchronized Value await(Matcher watch) {
    long known = Long.parseLong(watch.group(2));
    long deadline = System.nanoTime() + Long.parseLong(watch.group(3)) * 1_000_000;
    while (true) {
      Value value = values.get(watch.group(1));
      if (value != null && value.revision() > known) {
        return value;
      }
      long remaining = (deadline - System.nanoTime()) / 1_000_000;
      if (remaining <= 0) {
        return null;
      }
      try {
        wait(remaining);
      } catch (InterruptedException exception) {
        return null;
      }
    }
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  private record Value(long revision, byte[] body) {}
}
