import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A stand-in for one server: a model server with adapters and orders, or a plain one. It registers
 * itself in the store. Thread-safe.
 */
class Server {

  /** One order as it arrived. */
  record Order(long at, String server, String holder, long fence, String what, int status) {}

  private static final long ADAPTER_LOAD_MILLISECONDS = 250;
  private static final long HEARTBEAT_MILLISECONDS = 1_200;

  private final String identifier;
  private final String service;
  private final Store store;
  private final Record record;
  private final String endpoint = Ports.freeEndpoint();
  private final long born = System.currentTimeMillis();
  private final Map<String, Long> readyAt = new LinkedHashMap<>();
  private final List<Order> orders = Collections.synchronizedList(new ArrayList<>());
  private long acceptedOrders;
  private long announcements;

  Server(String identifier, String service, Store store, Record record) throws IOException {
    this.identifier = identifier;
    this.service = service;
    this.store = store;
    this.record = record;
    ServerSocket port = new ServerSocket(Ports.portOf(endpoint), 200, InetAddress.getByName("127.0.0.1"));
    Threads.start("server-" + identifier, () -> accept(port));
    Threads.start("heartbeat-" + identifier, this::announceForever);
  }

  String identifier() {
    return identifier;
  }

  List<Order> orders() {
    return List.copyOf(orders);
  }

  boolean engine() {
    return service.equals("llm-pool");
  }

  private void announceForever() throws InterruptedException {
    while (true) {
      announce();
      Thread.sleep(HEARTBEAT_MILLISECONDS);
    }
  }

  private synchronized void announce() {
    announcements++;
    store.write(
        "servers/" + identifier,
        "{\"svc\":\""
            + service
            + "\",\"addr\":\""
            + endpoint
            + "\",\"zone\":\"tema-a\",\"version\":\"v1\",\"slot_count\":64,\"state\":\"ready\","
            + "\"cold_left_ms\":0,\"phase\":\"both\",\"models\":"
            + models()
            + ",\"born\":"
            + born
            + ",\"sequence\":"
            + announcements
            + "}");
  }

  private void accept(ServerSocket port) throws IOException {
    while (true) {
      Socket socket = port.accept();
      socket.setTcpNoDelay(true);
      Threads.start("connection-" + identifier, () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      HttpMessage request = HttpMessage.readRequest(input);
      while (request != null) {
        handle(request, socket);
        request = HttpMessage.readRequest(input);
      }
    }
  }

  private void handle(HttpMessage request, Socket socket) throws Exception {
    OutputStream output = socket.getOutputStream();
    String expected = request.header("X-Parsleyhead-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(identifier)) {
      respond(output, 421, request, "", "");
    } else if (request.target().equals("/report")) {
      respond(output, 200, request, "Content-Type: application/json\r\n", report());
    } else if (request.target().equals("/order")) {
      respond(output, order(request), request, "", "");
    } else if (missesAdapter(request)) {
      respond(output, 421, request, "", "");
    } else {
      run(request, socket);
    }
  }

  /** Runs a request and answers it. */
  void run(HttpMessage request, Socket socket) throws Exception {
    recordRun(request);
    OutputStream output = socket.getOutputStream();
    String stamp = stamp(request);
    if (!engine()) {
      Thread.sleep(20);
      respond(output, 200, request, stamp, "whole answer to " + request.header("X-Parsleyhead-Request-Id"));
      return;
    }
    output.write(
        ("HTTP/1.1 200 OK\r\nX-Parsleyhead-Request-Id: "
                + request.header("X-Parsleyhead-Request-Id")
                + "\r\n"
                + stamp
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    String last = request.header("Last-Event-Id");
    for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= 4; event++) {
      Thread.sleep(30);
      String text = "id: " + event + "\ndata: event " + event + "\n\n";
      output.write(
          (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
    }
    output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
  }

  void recordRun(HttpMessage request) {
    record.line(
        "run server=%s request=%s %s body=%d",
        identifier,
        request.header("X-Parsleyhead-Request-Id"),
        request.firstLine(),
        request.body().length);
  }

  String stamp(HttpMessage request) {
    return "X-Parsleyhead-Server-Stamp: " + identifier + "." + request.header("X-Parsleyhead-Request-Id") + "\r\n";
  }

  /** Writes a whole response, which repeats the identifier of its request. */
  static void respond(
      OutputStream output, int status, HttpMessage request, String headers, String body)
      throws IOException {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    String identifier = request.header("X-Parsleyhead-Request-Id");
    String head =
        "HTTP/1.1 "
            + status
            + " Status\r\n"
            + (identifier.isEmpty() ? "" : "X-Parsleyhead-Request-Id: " + identifier + "\r\n")
            + headers
            + "Keep-Alive: timeout=5\r\nContent-Length: "
            + content.length
            + "\r\n\r\n";
    output.write(head.getBytes(StandardCharsets.ISO_8859_1));
    output.write(content);
    output.flush();
  }

  private synchronized boolean missesAdapter(HttpMessage request) {
    String model = request.header("X-Parsleyhead-Model");
    int slash = model.indexOf('/');
    if (!engine() || slash < 0) {
      return false;
    }
    Long ready = readyAt.get(model.substring(slash + 1));
    return ready == null || ready > record.now();
  }

  private synchronized int order(HttpMessage request) {
    String body = request.text();
    int status = orderStatus(body);
    Order order =
        new Order(
            record.now(),
            identifier,
            text(body, "holder"),
            number(body, "fence", -1),
            text(body, "op") + " " + text(body, "adapter"),
            status);
    orders.add(order);
    record.line("order server=%s %s answered=%d", identifier, body, status);
    return status;
  }

  private int orderStatus(String body) {
    String adapter = text(body, "adapter");
    if (number(body, "precondition", acceptedOrders) != acceptedOrders) {
      return 409;
    }
    if (adapter.isEmpty()) {
      return 200;
    }
    if (text(body, "op").equals("unload")) {
      acceptedOrders++;
      readyAt.remove(adapter);
      return 200;
    }
    if (readyAt.containsKey(adapter)) {
      return 200;
    }
    acceptedOrders++;
    readyAt.put(adapter, record.now() + ADAPTER_LOAD_MILLISECONDS);
    return 202;
  }

  private synchronized String report() {
    long now = record.now();
    String coming =
        readyAt.entrySet().stream()
            .filter(entry -> entry.getValue() > now)
            .map(entry -> "\"" + Documents.MODEL + "/" + entry.getKey() + "@1\"")
            .collect(Collectors.joining(","));
    return "{\"phase\":\"both\",\"models\":"
        + models()
        + ",\"coming\":["
        + coming
        + "],\"busy\":false,\"sequence\":"
        + acceptedOrders
        + ",\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":262134,\"handles\":0,\"born\":"
        + born
        + "}";
  }

  private String models() {
    if (!engine()) {
      return "[]";
    }
    long now = record.now();
    String adapters =
        readyAt.entrySet().stream()
            .filter(entry -> entry.getValue() <= now)
            .map(entry -> "\"" + entry.getKey() + "@1\"")
            .collect(Collectors.joining(","));
    return "[{\"name\":\"" + Documents.MODEL + "\",\"version\":1,\"adapters\":[" + adapters + "]}]";
  }

  private static String text(String body, String field) {
    Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(body);
    return matcher.find() ? matcher.group(1) : "";
  }

  private static long number(String body, String field, long fallback) {
    Matcher matcher = Pattern.compile("\"" + field + "\":([0-9]+)").matcher(body);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : fallback;
  }
}
