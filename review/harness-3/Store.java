import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;

/** A stand-in for the platform's store: pages and watches. Thread-safe. */
final class Store {

  private record Item(String key, long revision, String value) {}

  private final ServerSocket port;
  private final ServerSocket otherPort;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 100;
  private volatile boolean refusing;

  Store() throws IOException {
    port = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    otherPort = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Threads.start("store", () -> accept(port));
    Threads.start("store", () -> accept(otherPort));
  }

  /** Returns the address for machines that the store may turn away. */
  String otherAddress() {
    return "127.0.0.1:" + otherPort.getLocalPort();
  }

  /** Turns away the machines that use the other address, with 503, or serves them again. */
  void refuse(boolean refuses) {
    refusing = refuses;
  }

  String address() {
    return "127.0.0.1:" + port.getLocalPort();
  }

  /** Writes an item; null deletes it. */
  synchronized void write(String key, String value) {
    Item item = new Item(key, ++revision, value);
    history.add(item);
    if (value == null) {
      items.remove(key);
    } else {
      items.put(key, item);
    }
    notifyAll();
  }

  private void accept(ServerSocket from) throws IOException {
    while (true) {
      Socket socket = from.accept();
      Threads.start("store-connection", () -> serve(socket, from == otherPort));
    }
  }

  private void serve(Socket socket, boolean other) throws IOException, InterruptedException {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Message call = Http.read(in, false);
        if (call == null) {
          return;
        }
        boolean refused = other && refusing;
        String body =
            switch (refused ? "" : call.path()) {
              case "/kv-range" -> page(call);
              case "/kv-watch" -> watch(call);
              default -> null;
            };
        byte[] bytes = (body == null ? "" : body).getBytes(StandardCharsets.UTF_8);
        out.write(
            Http.head(
                body != null
                    ? "HTTP/1.1 200 OK"
                    : refused
                        ? "HTTP/1.1 503 Service Unavailable"
                        : "HTTP/1.1 404 Not Found",
                "Content-Type",
                "application/json",
                "Content-Length",
                Integer.toString(bytes.length)));
        out.write(bytes);
        out.flush();
      }
    }
  }

  private synchronized String page(Http.Message call) {
    String prefix = call.query("prefix", "");
    String after = call.query("after", "");
    List<String> list = new ArrayList<>();
    for (Item item : items.tailMap(after, false).values()) {
      if (item.key().startsWith(prefix)) {
        list.add(encode(item));
      }
    }
    return "{\"items\":["
        + String.join(",", list)
        + "],\"has_more\":false,\"store_revision\":"
        + revision
        + "}";
  }

  private synchronized String watch(Http.Message call) throws InterruptedException {
    long after = Long.parseLong(call.query("after", "0"));
    long until =
        System.nanoTime() + Long.parseLong(call.query("wait_ms", "0")) * 1_000_000;
    while (revision <= after) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        break;
      }
      wait(left);
    }
    List<String> events = new ArrayList<>();
    for (Item item : history) {
      if (item.revision() > after) {
        events.add(encode(item));
      }
    }
    return "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}";
  }

  private static String encode(Item item) {
    String start = "{\"key\":\"" + item.key() + "\",\"rev\":" + item.revision();
    return item.value() == null
        ? start + ",\"deleted\":true}"
        : start
            + ",\"created\":"
            + item.revision()
            + ",\"lease\":0,\"value\":\""
            + Base64.getEncoder().encodeToString(item.value().getBytes(StandardCharsets.UTF_8))
            + "\"}";
  }
}
