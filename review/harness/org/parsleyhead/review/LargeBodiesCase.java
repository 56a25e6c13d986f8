package org.parsleyhead.review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Callers send bodies of the largest permitted size through one host, and others read small
 * answers. A burst raises the number of the former; the host must go on answering the latter.
 */
public final class LargeBodiesCase {

  private static final int MAXIMUM_BODY_BYTES = 4_194_304;
  private static final int UPLOAD_MILLISECONDS = 2_700;
  private static final int UPLOAD_STEPS = 54;
  private static final int USUAL_CALLERS = 40;
  private static final double BURST_FACTOR = 1.7;
  private static final int BURST_MILLISECONDS = 3_000;
  private static final int READ_TIMEOUT_MILLISECONDS = 800;
  private static final int ANSWER_SLACK_MILLISECONDS = 500;

  private final boolean trouble;
  private final Record record;
  private final Path directory;
  private final AtomicLong numbers = new AtomicLong();
  private final TreeMap<String, Integer> uploads = new TreeMap<>();
  private final List<Read> reads = new ArrayList<>();
  private volatile long burstEndsAt;
  private volatile boolean stopped;
  private HostProcess host;

  private LargeBodiesCase(boolean trouble, Record record, Path directory) {
    this.trouble = trouble;
    this.record = record;
    this.directory = directory;
  }

  /** Runs the case; exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run. */
  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(arguments[1]);
    int status = 2;
    try (WorkDirectory directory = WorkDirectory.create();
        Record record = new Record(Path.of(arguments[0], "record.txt"))) {
      LargeBodiesCase playedCase = new LargeBodiesCase(trouble, record, directory.path());
      Runtime.getRuntime().addShutdownHook(new Thread(() -> playedCase.endHost()));
      try {
        status = playedCase.play();
      } catch (IOException | IllegalStateException exception) {
        record.announce("couldn't run: %s", exception);
      } finally {
        playedCase.endHost();
      }
      record.announce("exit %d", status);
    }
    System.exit(status);
  }

  private void endHost() {
    if (host != null) {
      host.kill();
    }
  }

  private int play() throws Exception {
    StoreStandin store = new StoreStandin();
    HttpListener server = new HttpListener(this::answer);
    store.write("op/config", catalogue());
    store.write(
        "servers/i-plain",
        ("{\"svc\":\"orders\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"zone-0\",\"version\":\"v1\","
                + "\"slot_count\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":1,"
                + "\"sequence\":1}")
            .formatted(server.port()));
    host = new HostProcess(directory, "front-0", "zone-0");
    host.start(List.of(host.control()), store.address(), true);
    for (int attempt = 0; !host.ready(); attempt++) {
      if (attempt == 100) {
        throw new IllegalStateException("host is not ready");
      }
      Thread.sleep(200);
    }
    for (int number = 0; number < USUAL_CALLERS; number++) {
      startUploads(number * UPLOAD_MILLISECONDS / USUAL_CALLERS, Long.MAX_VALUE);
    }
    for (int number = 0; number < 4; number++) {
      Threads.start("reader", this::readRepeatedly);
    }
    Thread.sleep(10_000);
    if (trouble) {
      int more = (int) Math.round(USUAL_CALLERS * BURST_FACTOR) - USUAL_CALLERS;
      burstEndsAt = System.nanoTime() + BURST_MILLISECONDS * 1_000_000L;
      record.announce("burst: %d more callers for %d ms", more, BURST_MILLISECONDS);
      for (int number = 0; number < more; number++) {
        startUploads(0, burstEndsAt);
      }
    }
    Thread.sleep(25_000);
    stopped = true;
    Thread.sleep(2_000);
    return check();
  }

  private void answer(HttpMessage request, OutputStream output) throws Exception {
    Thread.sleep(60);
    record.write(
        "server ran %s, %d bytes",
        request.header("X-Parsleyhead-Request-Id"), request.body().length);
    HttpListener.respond(
        output,
        200,
        "X-Parsleyhead-Request-Id: "
            + request.header("X-Parsleyhead-Request-Id")
            + "\r\nX-Parsleyhead-Server-Stamp: stamp\r\n",
        "done");
  }

  private void startUploads(int delayMilliseconds, long until) {
    Threads.start(
        "uploader",
        () -> {
          Thread.sleep(delayMilliseconds);
          byte[] body = new byte[MAXIMUM_BODY_BYTES];
          Arrays.fill(body, (byte) 'x');
          while (!stopped && System.nanoTime() < until) {
            String outcome = upload(body);
            synchronized (this) {
              uploads.merge(outcome, 1, Integer::sum);
            }
          }
        });
  }

  private String upload(byte[] body) throws InterruptedException {
    String id = id();
    String outcome;
    try (Socket socket = connect()) {
      socket.setSoTimeout(10_000);
      OutputStream output = socket.getOutputStream();
      output.write(head("POST /book/x", id, 8_000, body.length));
      int step = body.length / UPLOAD_STEPS;
      for (int sent = 0; sent < body.length; sent += step) {
        output.write(body, sent, Math.min(step, body.length - sent));
        Thread.sleep(UPLOAD_MILLISECONDS / UPLOAD_STEPS);
      }
      outcome = status(socket);
    } catch (IOException | RuntimeException exception) {
      outcome = exception.getClass().getSimpleName();
    }
    record.write("upload %s: %s", id, outcome);
    return outcome;
  }

  private void readRepeatedly() throws InterruptedException {
    while (!stopped) {
      String id = id();
      long sentAt = System.nanoTime();
      String outcome;
      try (Socket socket = connect()) {
        socket.getOutputStream().write(head("GET /read/x", id, 1_500, 0));
        socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS + ANSWER_SLACK_MILLISECONDS);
        outcome = status(socket);
      } catch (SocketTimeoutException exception) {
        outcome = "unanswered";
      } catch (IOException | RuntimeException exception) {
        outcome = exception.getClass().getSimpleName();
      }
      double milliseconds = (System.nanoTime() - sentAt) / 1e6;
      record.write("read %s: %s after %.0f ms", id, outcome, milliseconds);
      synchronized (this) {
        reads.add(new Read(outcome, milliseconds));
      }
      Thread.sleep(200);
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), host.front());
    socket.setTcpNoDelay(true);
    return socket;
  }

  private String id() {
    return String.format("%016x", numbers.incrementAndGet());
  }

  private static byte[] head(String start, String id, int deadlineMilliseconds, int length) {
    return (start
            + " HTTP/1.1\r\nHost: desk.example\r\nX-Parsleyhead-Request-Id: "
            + id
            + "\r\nX-Parsleyhead-Deadline-Ms: "
            + deadlineMilliseconds
            + (length == 0 ? "" : "\r\nContent-Length: " + length)
            + "\r\n\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String status(Socket socket) throws IOException {
    HttpMessage answer = HttpMessage.read(socket.getInputStream());
    return answer == null ? "closed" : Integer.toString(answer.status());
  }

  private synchronized int check() {
    long late =
        reads.stream().filter(read -> read.milliseconds() >= READ_TIMEOUT_MILLISECONDS).count();
    long unanswered = reads.stream().filter(read -> read.outcome().equals("unanswered")).count();
    record.announce("uploads ended: %s", uploads);
    record.announce(
        "reads: %d, unanswered at timeout_ms: %d, half a second later: %d",
        reads.size(), late, unanswered);
    return unanswered > 0 && unanswered * 2 > late ? 1 : 0;
  }

  private static String catalogue() {
    return "{\"version\":1,\"routes\":["
        + route("book", "non_idempotent", 8_000)
        + ","
        + route("read", "idempotent", READ_TIMEOUT_MILLISECONDS)
        + "],\"services\":[{\"name\":\"orders\",\"health_path\":\"/healthz\",\"max_conns\":96,"
        + "\"proto\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":"
        + MAXIMUM_BODY_BYTES
        + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  private static String route(String name, String kind, int timeout) {
    return ("{\"name\":\"r-%s\",\"host\":\"desk.example\",\"prefix\":\"/%s/\",\"kind\":\"%s\","
            + "\"timeout_ms\":%d,\"latency_target_ms\":300,\"priority\":2,\"svc\":\"orders\","
            + "\"attempts\":1,\"public\":false,\"affinity\":false,\"resumable\":false}")
        .formatted(name, name, kind, timeout);
  }

  private record Read(String outcome, double milliseconds) {}
}
