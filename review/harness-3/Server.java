import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for a server of the platform: a plain one, or a model server that holds adapters and
 * takes orders.
 *
 * <p>Thread-safe. Subclasses change single answers.
 */
class Server {

  static final String MODEL = "daka";
  static final int SLOTS = 64;

  private static final int EVENTS = 10;
  private static final long EVENT_INTERVAL_MILLISECONDS = 40;
  private static final long LOAD_MILLISECONDS = 250;

  final String identifier;
  final String service;
  final boolean engine;
  final RunRecord record;
  private final ServerSocket port;
  private final long born = System.currentTimeMillis();
  private final Map<String, Long> readyAt = new LinkedHashMap<>();
  private volatile long workMilliseconds = 20;
  private long orders;
  private long beats;

  Server(String identifier, String service, boolean engine, RunRecord record) throws IOException {
    this.identifier = identifier;
    this.service = service;
    this.engine = engine;
    this.record = record;
    port = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Threads.start(identifier, this::accept);
  }

  String address() {
    return "127.0.0.1:" + port.getLocalPort();
  }

  void workFor(long milliseconds) {
    workMilliseconds = milliseconds;
  }

  /** Writes the entry of this server to the store every 1.2 s. */
  void announceTo(Store store) {
    announceTo(store, 0);
  }

  /** Writes the entry of this server to the store at once, and every 1.2 s after a delay. */
  void announceTo(Store store, long delayMilliseconds) {
    Threads.start(
        identifier + "-beat",
        () -> {
          store.write("servers/" + identifier, entry());
          Thread.sleep(delayMilliseconds);
          while (true) {
            store.write("servers/" + identifier, entry());
            Thread.sleep(1_200);
          }
        });
  }

  private synchronized String entry() {
    beats++;
    return "{\"svc\":\""
        + service
        + "\",\"addr\":\""
        + address()
        + "\",\"zone\":\"tema-a\",\"version\":\"v1\",\"slot_count\":"
        + SLOTS
        + ",\"state\":\"ready\",\"cold_left_ms\":0,\"born\":"
        + born
        + ",\"sequence\":"
        + beats
        + (engine ? ",\"phase\":\"both\",\"models\":" + models() : "")
        + "}";
  }

  private String models() {
    long now = System.currentTimeMillis();
    List<String> held =
        readyAt.entrySet().stream()
            .filter(adapter -> adapter.getValue() <= now)
            .map(adapter -> '"' + adapter.getKey() + "@1\"")
            .toList();
    return "[{\"name\":\""
        + MODEL
        + "\",\"version\":1,\"adapters\":["
        + String.join(",", held)
        + "]}]";
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = port.accept();
      Threads.start(identifier + "-connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 64 << 10);
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Message call = Http.read(in, false);
        if (call == null) {
          return;
        }
        String expected = call.header("X-Parsleyhead-Expect-Instance");
        if (expected != null && !expected.equals(identifier)) {
          answer(out, call, 421, new byte[0], "X-Parsleyhead-Not-Run", "1");
        } else if (call.path().equals("/report")) {
          answerReport(call, out);
        } else if (call.path().equals("/order")) {
          answerOrder(call, out);
        } else if (engine) {
          stream(call, out);
        } else {
          run(call, out);
        }
      }
    }
  }

  /** Answers a request for the report. */
  void answerReport(Http.Message call, OutputStream out) throws IOException {
    answer(out, call, 200, report().getBytes(StandardCharsets.UTF_8));
  }

  /** Carries out an order and answers it. */
  void answerOrder(Http.Message call, OutputStream out) throws IOException {
    answer(out, call, order(new String(call.body(), StandardCharsets.UTF_8)), new byte[0]);
  }

  /** Runs a plain request. */
  void run(Http.Message call, OutputStream out) throws IOException, InterruptedException {
    record.line(
        "runs " + call.header("X-Parsleyhead-Request-Id") + " at " + identifier);
    Thread.sleep(workMilliseconds);
    answer(out, call, 200, ("done by " + identifier).getBytes(StandardCharsets.UTF_8));
  }

  void stream(Http.Message call, OutputStream out)
      throws IOException, InterruptedException {
    String model = call.header("X-Parsleyhead-Model");
    String adapter = model.substring(model.indexOf('/') + 1);
    boolean held;
    synchronized (this) {
      Long ready = readyAt.get(adapter);
      held = ready != null && ready <= System.currentTimeMillis();
    }
    if (!held) {
      answer(out, call, 421, new byte[0], "X-Parsleyhead-Not-Run", "1");
      return;
    }
    record.line("runs " + call.header("X-Parsleyhead-Request-Id") + " at " + identifier);
    out.write(
        Http.head(
            "HTTP/1.1 200 OK",
            "Content-Type",
            "text/event-stream",
            "Transfer-Encoding",
            "chunked",
            "X-Parsleyhead-Request-Id",
            call.header("X-Parsleyhead-Request-Id"),
            "X-Parsleyhead-Server-Stamp",
            stamp()));
    for (int event = 1; event <= EVENTS; event++) {
      Thread.sleep(EVENT_INTERVAL_MILLISECONDS);
      String text = "id: " + event + "\ndata: token " + event + "\n\n";
      out.write(
          (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private synchronized String report() {
    long now = System.currentTimeMillis();
    List<String> coming =
        readyAt.entrySet().stream()
            .filter(adapter -> adapter.getValue() > now)
            .map(adapter -> '"' + MODEL + '/' + adapter.getKey() + "@1\"")
            .toList();
    return "{\"phase\":\"both\",\"models\":"
        + models()
        + ",\"coming\":["
        + String.join(",", coming)
        + "],\"busy\":false,\"born\":"
        + born
        + ",\"sequence\":"
        + orders
        + ",\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":262134,\"handles\":0}";
  }

  private synchronized int order(String body) {
    int status = carryOut(body);
    record.line("order at " + identifier + " " + body + " status " + status);
    ordered(field(body, "holder"), Long.parseLong(field(body, "fence")), status);
    return status;
  }

  /** Receives each order with the answer to it, in the order of arrival. */
  void ordered(String holder, long fence, int status) {}

  private int carryOut(String body) {
    String expected = field(body, "precondition");
    if (expected != null && Long.parseLong(expected) != orders) {
      return 409;
    }
    String adapter = field(body, "adapter");
    if (adapter == null) {
      return 400;
    }
    orders++;
    if ("load".equals(field(body, "op"))) {
      readyAt.putIfAbsent(adapter, System.currentTimeMillis() + LOAD_MILLISECONDS);
      return 202;
    }
    readyAt.remove(adapter);
    return 200;
  }

  private static String field(String body, String name) {
    Matcher matcher =
        Pattern.compile("\"" + name + "\":(?:\"([^\"]*)\"|([0-9]+))").matcher(body);
    return !matcher.find() ? null : matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
  }

  static String stamp() {
    return Long.toHexString(ThreadLocalRandom.current().nextLong() & Long.MAX_VALUE);
  }

  static void answer(
      OutputStream out, Http.Message call, int status, byte[] body, String... more)
      throws IOException {
    String identifier = call.header("X-Parsleyhead-Request-Id");
    out.write(
        Http.head(
            "HTTP/1.1 " + status + " Status",
            java.util.stream.Stream.concat(
                    java.util.stream.Stream.of(
                        "Content-Length",
                        Integer.toString(body.length),
                        "Content-Type",
                        "application/json",
                        "X-Parsleyhead-Request-Id",
                        identifier == null ? "" : identifier,
                        "X-Parsleyhead-Server-Stamp",
                        stamp()),
                    java.util.Arrays.stream(more))
                .toArray(String[]::new)));
    out.write(body);
    out.flush();
  }
}
