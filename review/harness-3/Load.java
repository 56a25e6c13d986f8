import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that keep their connections, and what they saw. Thread-safe.
 *
 * <p>Each client sends one request after the other, and waits for its answer for the deadline and a
 * second more.
 */
final class Load {

  /** What a client saw of one request. */
  record Outcome(
      String request,
      String host,
      String kind,
      double sentAt,
      double endedAt,
      String end,
      int status) {}

  private static final AtomicLong REQUESTS = new AtomicLong();

  private final List<Outcome> outcomes = Collections.synchronizedList(new ArrayList<>());
  private final RunRecord record;
  private final long uploadMilliseconds;
  private volatile boolean stopped;

  /**
   * Creates clients.
   *
   * @param uploadMilliseconds how long the body of a request takes to send
   */
  Load(RunRecord record, long uploadMilliseconds) {
    this.record = record;
    this.uploadMilliseconds = uploadMilliseconds;
  }

  /** Returns what the clients have seen so far. */
  List<Outcome> copy() {
    synchronized (outcomes) {
      return List.copyOf(outcomes);
    }
  }

  void stop() {
    stopped = true;
  }

  /** Starts a client that sends a request of a kind at an interval. */
  Thread client(
      String host, String kind, int bodyBytes, long deadline, long interval, String model) {
    return client(host, kind, bodyBytes, deadline, interval, model, "a", 60);
  }

  /**
   * Starts a client that draws an adapter for each request.
   *
   * @param model the model, or null
   * @param adapterPrefix how the names of the adapters begin
   * @param adapters the number of adapters
   */
  Thread client(
      String host,
      String kind,
      int bodyBytes,
      long deadline,
      long interval,
      String model,
      String adapterPrefix,
      int adapters) {
    return Threads.start(
        "client",
        () -> {
          Socket socket = null;
          while (!stopped) {
            long next = System.nanoTime() + interval * 1_000_000;
            try {
              if (socket == null) {
                socket = Client.connect(host);
              }
              String named =
                  model == null
                      ? null
                      : model
                          + "/"
                          + adapterPrefix
                          + ThreadLocalRandom.current().nextInt(adapters);
              if (!request(socket, host, kind, bodyBytes, deadline, named)) {
                socket.close();
                socket = null;
              }
            } catch (IOException unreachable) {
              record.line("no connection to " + host + ": " + unreachable.getMessage());
              socket = null;
            }
            Thread.sleep(Math.max(1, (next - System.nanoTime()) / 1_000_000));
          }
        });
  }

  /** Sends one request and awaits its answer; returns whether the connection may be kept. */
  boolean request(
      Socket socket,
      String host,
      String kind,
      int bodyBytes,
      long deadline,
      String model)
      throws IOException, InterruptedException {
    String request = String.format("%016x", REQUESTS.incrementAndGet());
    boolean post = bodyBytes > 0;
    List<String> headers =
        new ArrayList<>(
            List.of(
                "Host", Catalogue.HOST,
                "X-Parsleyhead-Request-Id", request,
                "X-Parsleyhead-Deadline-Ms", Long.toString(deadline),
                "Authorization", "Bearer " + Catalogue.KEY));
    if (model != null) {
      headers.addAll(
          List.of("X-Parsleyhead-Model", model, "X-Parsleyhead-Token-Count", "200,40"));
    }
    if (post) {
      headers.addAll(List.of("Content-Length", Integer.toString(bodyBytes)));
    }
    double sentAt = record.seconds();
    record.line("sent " + request + " " + kind + " to " + host);
    String end = "closed";
    int status = 0;
    boolean keep = false;
    try {
      socket.setSoTimeout((int) deadline + 1_000);
      OutputStream out = socket.getOutputStream();
      out.write(
          Http.head(
              (post ? "POST /" : "GET /") + kind + "/x HTTP/1.1",
              headers.toArray(String[]::new)));
      byte[] piece = new byte[64 << 10];
      long begin = System.nanoTime();
      int pieces = post ? (bodyBytes + piece.length - 1) / piece.length : 0;
      for (int number = 0; number < pieces; number++) {
        out.write(piece, 0, Math.min(bodyBytes - number * piece.length, piece.length));
        long due = begin + uploadMilliseconds * 1_000_000 * (number + 1) / pieces;
        Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
      }
      out.flush();
      record.line("whole " + request);
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
      if (answer != null) {
        end = "answered";
        status = answer.status();
        keep = !"close".equalsIgnoreCase(answer.header("Connection"));
      }
    } catch (SocketTimeoutException silent) {
      end = "no answer";
    } catch (IOException cut) {
      end = "cut: " + cut.getMessage();
    }
    outcomes.add(new Outcome(request, host, kind, sentAt, record.seconds(), end, status));
    record.line("end " + request + " " + kind + " " + end + " " + status);
    return keep;
  }
}
