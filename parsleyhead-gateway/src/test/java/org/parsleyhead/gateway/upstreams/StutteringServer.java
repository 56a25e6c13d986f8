package org.parsleyhead.gateway.upstreams;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that answers some requests twice, the second time late, or with bytes that are no
 * response.
 *
 * <p>Thread-safe; one thread for each connection, and some for second answers. What it does with a
 * request is drawn from the seed and the path, which has to be unique. The body of each answer
 * bears the identifier and the number of the run, so that no two runs have the same one.
 */
final class StutteringServer implements AutoCloseable {

  private static final int MAXIMUM_WORK_MILLISECONDS = 40;
  private static final int MAXIMUM_SHORT_DELAY_MILLISECONDS = 60;
  private static final int MAXIMUM_DELAY_MILLISECONDS = 300;
  private static final int MAXIMUM_LONG_DELAY_MILLISECONDS = 2_000;
  private static final int MAXIMUM_LONG_BODY_LINES = 2_000;
  private static final int ENDLESS_MILLISECONDS = 200;
  private static final int SECOND_ANSWER_THREADS = 16;
  private static final String NOT_HTTP = "this is no response\r\n\r\n";

  private final long seed;
  private final ServerSocket listener;
  private final ScheduledExecutorService secondAnswerThreads;
  private final Map<String, Answer> answers = new ConcurrentHashMap<>();
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger runs = new AtomicInteger();
  private final AtomicInteger secondAnswers = new AtomicInteger();

  /**
   * The first answer to a request.
   *
   * @param identifier the identifier of the request
   * @param connection the number of the connection
   * @param run the number of the run
   * @param status the status; 0 if the bytes are no response
   * @param notRun whether it states that the request was not run
   * @param body the body
   * @param whole whether the whole body is sent
   */
  record Answer(
      String identifier,
      int connection,
      int run,
      int status,
      boolean notRun,
      String body,
      boolean whole) {}

  StutteringServer(long seed) throws IOException {
    this.seed = seed;
    this.listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    this.secondAnswerThreads =
        Executors.newScheduledThreadPool(SECOND_ANSWER_THREADS, StutteringServer::daemon);
    daemon(this::accept).start();
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns the first answer to the request with a path; null if none was received. */
  Answer answer(String path) {
    return answers.get(path);
  }

  /** Returns the number of second answers that were written to an open connection. */
  int secondAnswers() {
    return secondAnswers.get();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    secondAnswerThreads.shutdownNow();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        int number = connections.incrementAndGet();
        daemon(() -> serve(socket, number)).start();
      }
    } catch (IOException closed) {
      // The test closed the listener.
    }
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      BufferedReader input =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String path = "";
      String identifier = "";
      for (String line = input.readLine(); line != null; line = input.readLine()) {
        if (line.startsWith("GET ")) {
          path = line.split(" ")[1];
        } else if (line.regionMatches(true, 0, "id:", 0, 3)) {
          identifier = line.substring(3).strip();
        } else if (line.isEmpty() && !answerRequest(socket, connection, path, identifier)) {
          return;
        }
      }
    } catch (IOException | InterruptedException closed) {
      // The other side closed the connection.
    }
  }

  /** Answers a request and returns whether the connection stays open. */
  private boolean answerRequest(Socket socket, int connection, String path, String identifier)
      throws IOException, InterruptedException {
    Random random = new Random(31 * seed + path.hashCode());
    int run = runs.incrementAndGet();
    boolean stream = path.startsWith("/stream");
    Kind kind = Kind.random(random);
    String body = body(identifier + " run " + run, random, stream);
    boolean whole = random.nextInt(20) > 0;
    answers.put(
        path, new Answer(identifier, connection, run, kind.status, kind.notRun, body, whole));
    byte[] bytes = response(kind, identifier, body, random.nextBoolean());
    TimeUnit.MILLISECONDS.sleep(random.nextInt(MAXIMUM_WORK_MILLISECONDS));
    write(
        socket,
        bytes,
        whole
            ? bytes.length
            : bytes.length - 1 - random.nextInt(Math.min(bytes.length, body.length())));
    if (whole && random.nextInt(10) < 6) {
      byte[] second = secondAnswer(bytes, identifier, run, random, stream);
      boolean endless = random.nextInt(20) == 0;
      secondAnswerThreads.schedule(
          () -> answerAgain(socket, second, endless), delay(random), TimeUnit.MILLISECONDS);
    }
    return whole;
  }

  private void answerAgain(Socket socket, byte[] bytes, boolean endless) {
    try {
      write(socket, bytes, bytes.length);
      secondAnswers.incrementAndGet();
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ENDLESS_MILLISECONDS);
      while (endless && System.nanoTime() < end) {
        write(socket, bytes, bytes.length);
      }
    } catch (IOException closed) {
      // The connection was closed before.
    }
  }

  /** Writes bytes that no other answer on the connection interrupts. */
  private static void write(Socket socket, byte[] bytes, int length) throws IOException {
    OutputStream output = socket.getOutputStream();
    synchronized (socket) {
      output.write(bytes, 0, length);
    }
  }

  private static byte[] secondAnswer(
      byte[] first, String identifier, int run, Random random, boolean stream) {
    if (random.nextBoolean()) {
      return first;
    }
    String body = body(identifier + " run " + run + " second", random, stream);
    return response(Kind.random(random), identifier, body, random.nextBoolean());
  }

  private static int delay(Random random) {
    int range =
        switch (random.nextInt(10)) {
          case 0 -> MAXIMUM_LONG_DELAY_MILLISECONDS;
          case 1, 2 -> MAXIMUM_DELAY_MILLISECONDS;
          default -> MAXIMUM_SHORT_DELAY_MILLISECONDS;
        };
    return random.nextInt(range);
  }

  private static String body(String text, Random random, boolean stream) {
    String line = stream ? "data: " + text + "\n\n" : text + "\n";
    return random.nextInt(10) == 0
        ? line.repeat(1 + random.nextInt(MAXIMUM_LONG_BODY_LINES))
        : line;
  }

  private static byte[] response(Kind kind, String identifier, String body, boolean chunked) {
    if (kind == Kind.NOT_HTTP) {
      return text(NOT_HTTP);
    }
    String head = "HTTP/1.1 " + kind.status + " Status\r\nId: " + identifier + "\r\nStamp: s\r\n";
    String notRun = kind.notRun ? "Not-Run: 1\r\n" : "";
    String framed =
        chunked
            ? "Transfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(body.length())
                + "\r\n"
                + body
                + "\r\n0\r\n\r\n"
            : "Content-Length: " + body.length() + "\r\n\r\n" + body;
    return text(head + notRun + framed);
  }

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "stuttering-server");
    thread.setDaemon(true);
    return thread;
  }

  /** The kinds of answers. */
  private enum Kind {
    SUCCESS(200, false),
    FAILURE(500, false),
    UNAVAILABLE(503, false),
    NOT_RUN(503, true),
    NOT_HTTP(0, false);

    private final int status;
    private final boolean notRun;

    Kind(int status, boolean notRun) {
      this.status = status;
      this.notRun = notRun;
    }

    static Kind random(Random random) {
      return switch (random.nextInt(20)) {
        case 0 -> NOT_HTTP;
        case 1, 2 -> UNAVAILABLE;
        case 3, 4, 5, 6 -> FAILURE;
        case 7, 8, 9, 10 -> NOT_RUN;
        default -> SUCCESS;
      };
    }
  }
}
