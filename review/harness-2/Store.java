import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** A stand-in for the platform's store: items, pages and watches. Thread-safe. */
final class Store {

  private final String endpoint = Ports.freeEndpoint();
  private final Map<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 100;

  Store() throws IOException {
    ServerSocket port = new ServerSocket(Ports.portOf(endpoint), 200, InetAddress.getByName("127.0.0.1"));
    Threads.start("store", () -> accept(port));
  }

  String endpoint() {
    return endpoint;
  }

  /** Writes an item; its value is JSON. */
  synchronized void write(String key, String value) {
    Item item = new Item(key, ++revision, value);
    items.put(key, item);
    history.add(item);
    notifyAll();
  }

  /** Deletes an item. */
  synchronized void delete(String key) {
    items.remove(key);
    history.add(new Item(key, ++revision, null));
    notifyAll();
  }

  private void accept(ServerSocket port) throws IOException {
    while (true) {
      Socket socket = port.accept();
      Threads.start("store-connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    try (socket) {
      BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      HttpMessage call = HttpMessage.readRequest(input);
      while (call != null) {
        byte[] body = answer(call).getBytes(StandardCharsets.UTF_8);
        String head =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length
                + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        call = HttpMessage.readRequest(input);
      }
    }
  }

  private synchronized String answer(HttpMessage call) throws InterruptedException {
    if (call.target().startsWith("/kv-range")) {
      return "{\"items\":["
          + items.values().stream().map(Item::encode).collect(Collectors.joining(","))
          + "],\"has_more\":false,\"store_revision\":"
          + revision
          + "}";
    }
    long after = parameter(call.target(), "after");
    long until = System.nanoTime() + parameter(call.target(), "wait_ms") * 1_000_000;
    long left = until - System.nanoTime();
    while (revision <= after && left > 0) {
      wait(left / 1_000_000 + 1);
      left = until - System.nanoTime();
    }
    return "{\"events\":["
        + history.stream()
            .filter(item -> item.revision() > after)
            .map(Item::encode)
            .collect(Collectors.joining(","))
        + "],\"store_revision\":"
        + revision
        + "}";
  }

  private static long parameter(String target, String name) {
    for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
      if (part.startsWith(name + "=")) {
        return Long.parseLong(part.substring(name.length() + 1));
      }
    }
    return 0;
  }

  private record Item(String key, long revision, String value) {

    String encode() {
      return value == null
          ? "{\"key\":\"" + key + "\",\"rev\":" + revision + ",\"deleted\":true}"
          : "{\"key\":\""
              + key
              + "\",\"value\":\""
              + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8))
              + "\",\"rev\":"
              + revision
              + ",\"created\":"
              + revision
              + ",\"lease\":0}";
    }
  }
}
