package org.parsleyhead.gateway.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A sound server that falls silent for a while at any point of some answers, breaks off or refuses
 * others, and takes no connections for a while.
 *
 * <p>Thread-safe; one thread for each connection. What it does with a request is drawn from the
 * seed, the identifier and the number of the send. Paths end with the number of events and the
 * bytes of each event, such as {@code /stream/3/10}; a stream goes on after the event that the
 * request names.
 */
final class HesitantServer implements AutoCloseable {

  private static final int BACKLOG = 4;
  private static final int CONNECTIONS_THAT_FILL_BACKLOG = 12;
  private static final int MINIMUM_SILENCE_MILLISECONDS = 300;
  private static final int MAXIMUM_SILENCE_MILLISECONDS = 2_000;
  private static final int MAXIMUM_PAUSE_MILLISECONDS = 25;
  private static final int NEVER = -1;

  private final long seed;
  private final RunRecords records;
  private final ServerSocket listener;
  private volatile boolean closed;

  HesitantServer(long seed, RunRecords records) throws IOException {
    this.seed = seed;
    this.records = records;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns the body of a whole stream. */
  static String stream(String identifier, int events, int eventBytes) {
    return String.join("", events(identifier, 1, events, eventBytes));
  }

  /** Returns the body of a plain answer. */
  static String plain(String identifier) {
    return "plain answer to " + identifier;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
  }

  private void accept() {
    Random random = new Random(seed);
    long nextPause = System.nanoTime() + milliseconds(random, 0, 4_000);
    try {
      while (true) {
        Socket socket = listener.accept();
        daemon(() -> serve(socket));
        if (System.nanoTime() >= nextPause) {
          acceptNothing(
              milliseconds(random, MINIMUM_SILENCE_MILLISECONDS, MAXIMUM_SILENCE_MILLISECONDS));
          nextPause = System.nanoTime() + milliseconds(random, 1_000, 4_000);
        }
      }
    } catch (IOException | InterruptedException stopped) {
      // The test closed the listener.
    }
  }

  /** Takes no connection for some time; the kernel takes none either once the backlog is full. */
  private void acceptNothing(long nanoseconds) throws IOException, InterruptedException {
    List<SocketChannel> fillers = new ArrayList<>();
    for (int index = 0; index < CONNECTIONS_THAT_FILL_BACKLOG; index++) {
      SocketChannel filler = SocketChannel.open();
      filler.configureBlocking(false);
      filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port()));
      fillers.add(filler);
    }
    TimeUnit.NANOSECONDS.sleep(nanoseconds);
    for (SocketChannel filler : fillers) {
      filler.close();
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader input =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String path = "";
      String identifier = "";
      int lastEvent = 0;
      for (String line = input.readLine(); line != null; line = input.readLine()) {
        String lowerCase = line.toLowerCase(java.util.Locale.ROOT);
        if (line.startsWith("GET ")) {
          path = line.split(" ")[1];
          lastEvent = 0;
        } else if (lowerCase.startsWith("id:")) {
          identifier = line.substring(3).strip();
        } else if (lowerCase.startsWith("last-event:")) {
          lastEvent = Integer.parseInt(line.substring(11).strip());
        } else if (line.isEmpty() && !answer(socket, path, identifier, lastEvent)) {
          return;
        }
      }
    } catch (IOException | InterruptedException ended) {
      // The host closed the connection.
    }
  }

  /** Answers a request and returns whether the connection stays open. */
  private boolean answer(Socket socket, String path, String identifier, int lastEvent)
      throws IOException, InterruptedException {
    Random random = new Random(31 * seed + 17L * identifier.hashCode() + records.nextSend());
    OutputStream output = socket.getOutputStream();
    int kind = random.nextInt(20);
    if (kind < 2) {
      String status = kind == 0 ? "421 Misdirected\r\n" : "503 Full\r\nNot-Run: 1\r\n";
      output.write(
          text("HTTP/1.1 " + status + "Id: " + identifier + "\r\nContent-Length: 0\r\n\r\n"));
      return true;
    }
    RunRecords.Run run = records.start(identifier, port());
    List<String> pieces = pieces(path, identifier, lastEvent);
    int silentBefore = random.nextInt(10) < 4 ? random.nextInt(pieces.size()) : NEVER;
    int brokenBefore = random.nextInt(10) < 2 ? random.nextInt(pieces.size()) : NEVER;
    for (int index = 0; index < pieces.size(); index++) {
      long pause =
          index == silentBefore
              ? milliseconds(random, MINIMUM_SILENCE_MILLISECONDS, MAXIMUM_SILENCE_MILLISECONDS)
              : milliseconds(random, 0, MAXIMUM_PAUSE_MILLISECONDS);
      TimeUnit.NANOSECONDS.sleep(pause);
      if (closed || hasClosed(socket)) {
        run.leftByHost();
        return false;
      }
      if (index == brokenBefore) {
        run.brokenOff();
        return false;
      }
      output.write(text(pieces.get(index)));
    }
    run.whole();
    return true;
  }

  private static List<String> pieces(String path, String identifier, int lastEvent) {
    String[] parameters = path.split("/");
    String head = "HTTP/1.1 200 OK\r\nId: " + identifier + "\r\nStamp: s\r\n";
    List<String> pieces = new ArrayList<>();
    if (!path.startsWith("/stream") && !path.startsWith("/once")) {
      String body = plain(identifier);
      pieces.add(head + "Content-Length: " + body.length() + "\r\n\r\n");
      pieces.add(body.substring(0, 3));
      pieces.add(body.substring(3));
      return pieces;
    }
    pieces.add(head + "Transfer-Encoding: chunked\r\n\r\n");
    int events = Integer.parseInt(parameters[2]);
    for (String event :
        events(identifier, lastEvent + 1, events, Integer.parseInt(parameters[3]))) {
      pieces.add(Integer.toHexString(event.length()) + "\r\n" + event.substring(0, 6));
      pieces.add(event.substring(6) + "\r\n");
    }
    pieces.add("0\r\n\r\n");
    return pieces;
  }

  private static List<String> events(String identifier, int first, int last, int bytes) {
    List<String> events = new ArrayList<>();
    for (int number = first; number <= last; number++) {
      String data = identifier + " " + number + " " + "x".repeat(bytes);
      events.add("id: " + number + "\ndata: " + data + "\n\n");
    }
    return events;
  }

  /** Returns whether the other side has closed the connection; it sends nothing meanwhile. */
  private static boolean hasClosed(Socket socket) throws IOException {
    socket.setSoTimeout(1);
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException open) {
      return false;
    } finally {
      socket.setSoTimeout(0);
    }
  }

  private static long milliseconds(Random random, int minimum, int maximum) {
    return TimeUnit.MILLISECONDS.toNanos(minimum + random.nextInt(maximum - minimum));
  }

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "hesitant-server");
    thread.setDaemon(true);
    thread.start();
  }
}
