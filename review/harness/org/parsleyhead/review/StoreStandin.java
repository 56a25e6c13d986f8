package org.parsleyhead.review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for the platform's store: pages and watches with an unbounded history.
 *
 * <p>Thread-safe.
 */
final class StoreStandin {

  private final HttpListener listener;
  private final TreeMap<String, String> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private long revision = 100;

  StoreStandin() throws IOException {
    this.listener = new HttpListener(this::handle);
  }

  String address() {
    return "127.0.0.1:" + listener.port();
  }

  synchronized void write(String key, String value) {
    revision++;
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    String item =
        "{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%d,\"created\":%d,\"lease\":0}"
            .formatted(key, encoded, revision, revision);
    items.put(key, item);
    history.add(new Change(revision, item));
    notifyAll();
  }

  private void handle(HttpMessage request, OutputStream output) throws Exception {
    if (request.target().startsWith("/kv-range")) {
      HttpListener.respond(output, 200, "Content-Type: application/json\r\n", page());
    } else if (request.target().startsWith("/kv-watch")) {
      String events = events(request.queryNumber("after", 0), request.queryNumber("wait_ms", 0));
      HttpListener.respond(output, 200, "Content-Type: application/json\r\n", events);
    } else {
      HttpListener.respond(output, 404, "", "");
    }
  }

  private synchronized String page() {
    return "{\"items\":["
        + String.join(",", items.values())
        + "],\"has_more\":false,\"store_revision\":"
        + revision
        + "}";
  }

  private synchronized String events(long after, long waitMilliseconds) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMilliseconds);
    for (long left = end - System.nanoTime();
        revision <= after && left > 0;
        left = end - System.nanoTime()) {
      wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(left)));
    }
    List<String> events =
        history.stream().filter(change -> change.revision() > after).map(Change::item).toList();
    return "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}";
  }

  private record Change(long revision, String item) {}
}
