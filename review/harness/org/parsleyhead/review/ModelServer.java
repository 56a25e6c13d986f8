package org.parsleyhead.review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for a model server that holds one base model and loads adapters as ordered.
 *
 * <p>Thread-safe. It doesn't check fencing tokens.
 */
final class ModelServer {

  static final String MODEL = "base";
  static final int ADAPTER_SLOTS = 9;
  private static final long LOAD_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final int EVENTS = 10;
  private static final long EVENT_INTERVAL_MILLISECONDS = 20;

  private final String identifier;
  private final Record record;
  private final HttpListener listener;
  private final long born = System.currentTimeMillis();
  private final Map<String, Long> readyAt = new HashMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final List<Order> orders = new ArrayList<>();
  private long sequence;

  ModelServer(String identifier, Record record) throws IOException {
    this.identifier = identifier;
    this.record = record;
    this.listener = new HttpListener(this::handle);
  }

  String identifier() {
    return identifier;
  }

  int port() {
    return listener.port();
  }

  /** Returns the orders that have arrived, in the order of their arrival. */
  synchronized List<Order> orders() {
    return List.copyOf(orders);
  }

  /** Returns the entry of this server in the store. */
  synchronized String entry(String service, String address, String zone) {
    return ("{\"svc\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slot_count\":64,"
            + "\"state\":\"ready\",\"cold_left_ms\":0,\"born\":%d,\"sequence\":1,%s}")
        .formatted(service, address, zone, born, models());
  }

  private void handle(HttpMessage request, OutputStream output) throws Exception {
    String expected = request.header("X-Parsleyhead-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(identifier)) {
      HttpListener.respond(output, 421, "X-Parsleyhead-Instance-Id: " + identifier + "\r\n", "");
    } else if (request.target().equals("/report")) {
      HttpListener.respond(output, 200, "Content-Type: application/json\r\n", report());
    } else if (request.target().equals("/order")) {
      HttpListener.respond(output, order(request.text()), "", "");
    } else {
      stream(request, output);
    }
  }

  private synchronized String models() {
    long now = System.nanoTime();
    List<String> held = new ArrayList<>();
    List<String> coming = new ArrayList<>();
    readyAt.forEach(
        (adapter, ready) -> {
          if (ready <= now) {
            held.add("\"" + adapter + "@1\"");
          } else {
            coming.add("\"" + MODEL + "/" + adapter + "@1\"");
          }
        });
    return ("\"phase\":\"both\",\"models\":[{\"name\":\"%s\",\"version\":1,\"adapters\":[%s]}],"
            + "\"coming\":[%s]")
        .formatted(MODEL, String.join(",", held), String.join(",", coming));
  }

  private synchronized String report() {
    return ("{%s,\"busy\":false,\"sequence\":%d,\"born\":%d,\"queued\":0,\"running\":0,"
            + "\"kv_used\":0,\"kv_total\":200000,\"handles\":0}")
        .formatted(models(), sequence, born);
  }

  private synchronized int order(String body) {
    String operation = text(body, "op");
    String adapter = text(body, "adapter");
    long precondition = number(body, "precondition", sequence);
    int status;
    if (precondition != sequence) {
      status = 409;
    } else if (operation.equals("load") && readyAt.containsKey(adapter)) {
      status = 200;
    } else if (operation.equals("load")) {
      readyAt.put(adapter, System.nanoTime() + LOAD_NANOSECONDS);
      sequence++;
      status = 202;
    } else {
      readyAt.remove(adapter);
      sequence++;
      status = running.getOrDefault(adapter, 0) == 0 ? 200 : 202;
    }
    Order order =
        new Order(record.now(), operation, text(body, "holder"), number(body, "fence", -1), status);
    orders.add(order);
    record.write(
        "order at %s holder=%s fence=%d op=%s adapter=%s precondition=%d answered=%d",
        identifier, order.holder(), order.fence(), operation, adapter, precondition, status);
    return status;
  }

  private void stream(HttpMessage request, OutputStream output) throws Exception {
    String id = request.header("X-Parsleyhead-Request-Id");
    String model = request.header("X-Parsleyhead-Model");
    String adapter = model.substring(model.indexOf('/') + 1);
    synchronized (this) {
      Long ready = readyAt.get(adapter);
      if (ready == null || ready > System.nanoTime()) {
        HttpListener.respond(output, 421, "X-Parsleyhead-Request-Id: " + id + "\r\n", "");
        return;
      }
      running.merge(adapter, 1, Integer::sum);
    }
    try {
      output.write(
          ("HTTP/1.1 200 OK\r\nX-Parsleyhead-Request-Id: "
                  + id
                  + "\r\nX-Parsleyhead-Server-Stamp: stamp-"
                  + identifier
                  + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      for (int number = 1; number <= EVENTS; number++) {
        Thread.sleep(EVENT_INTERVAL_MILLISECONDS);
        String event = "id: " + number + "\ndata: " + id + "\n\n";
        output.write(
            (Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
      }
      output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      output.flush();
    } finally {
      synchronized (this) {
        running.merge(adapter, -1, Integer::sum);
      }
    }
  }

  static String text(String body, String field) {
    Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(body);
    return matcher.find() ? matcher.group(1) : "";
  }

  static long number(String body, String field, long defaultValue) {
    Matcher matcher = Pattern.compile("\"" + field + "\":([0-9]+)").matcher(body);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : defaultValue;
  }

  /**
   * An order that has arrived.
   *
   * @param at the seconds since the start of the case
   * @param operation load or unload
   * @param holder the machine that sent it
   * @param fence its fencing token
   * @param status the answer
   */
  record Order(double at, String operation, String holder, long fence, int status) {}
}
