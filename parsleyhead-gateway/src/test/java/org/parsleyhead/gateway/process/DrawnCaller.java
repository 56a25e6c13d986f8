package org.parsleyhead.gateway.process;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A caller of one request, which may read slowly or leave before the end.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the identifier of the request
 * @param path the path
 * @param key the key
 * @param deadline how long it waits
 * @param pausePerRead the pause after each line that is read; zero if it reads at once
 * @param leavesAfter when it leaves; empty if it stays
 */
record DrawnCaller(
    String identifier,
    String path,
    String key,
    Duration deadline,
    Duration pausePerRead,
    Optional<Duration> leavesAfter) {

  private static final int SMALL_BUFFER_BYTES = 4_096;

  /** Exceeded by nothing but an answer that never ends. */
  private static final Duration GRACE = Duration.ofSeconds(15);

  /** How an answer ended for its caller. */
  enum End {
    WHOLE,
    CUT,
    LEFT,
    NONE
  }

  /**
   * What a caller received.
   *
   * @param end how the answer ended
   * @param status the status; 0 if no head was received
   * @param body the body as far as it was received
   * @param elapsed the time since the request was written
   */
  record Answer(End end, int status, String body, Duration elapsed) {}

  /** Sends the request and reads the answer until its end. */
  Answer call(int port) throws IOException {
    StringBuilder body = new StringBuilder();
    int[] status = new int[1];
    long start = System.nanoTime();
    End end;
    try (Socket socket = new Socket()) {
      if (!pausePerRead.isZero()) {
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
      }
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      start = System.nanoTime();
      socket.getOutputStream().write(request().getBytes(StandardCharsets.ISO_8859_1));
      long until = start + leavesAfter.orElse(deadline.plus(GRACE)).toNanos();
      end = read(new TimedInput(socket, until), status, body);
    }
    return new Answer(end, status[0], body.toString(), Duration.ofNanos(System.nanoTime() - start));
  }

  private End read(TimedInput input, int[] status, StringBuilder body) {
    try {
      readHeadAndBody(input, status, body);
      return End.WHOLE;
    } catch (SocketTimeoutException late) {
      return leavesAfter.isPresent() ? End.LEFT : End.NONE;
    } catch (IOException closed) {
      return End.CUT;
    }
  }

  private String request() {
    return "GET "
        + path
        + " HTTP/1.1\r\nHost: host\r\nId: "
        + identifier
        + "\r\nKey: "
        + key
        + "\r\nTimeout: "
        + deadline.toMillis()
        + "\r\n\r\n";
  }

  private void readHeadAndBody(TimedInput input, int[] status, StringBuilder body)
      throws IOException {
    status[0] = Integer.parseInt(input.readLine().split(" ")[1]);
    int length = 0;
    boolean chunked = false;
    for (String line = input.readLine(); !line.isEmpty(); line = input.readLine()) {
      String lowerCase = line.toLowerCase(Locale.ROOT);
      chunked |= lowerCase.equals("transfer-encoding: chunked");
      if (lowerCase.startsWith("content-length:")) {
        length = Integer.parseInt(lowerCase.substring(15).strip());
      }
    }
    if (!chunked) {
      input.readText(length, body);
      return;
    }
    int chunk;
    do {
      chunk = Integer.parseInt(input.readLine(), 16);
      input.readText(chunk, body);
      input.readLine();
      pause();
    } while (chunk > 0);
  }

  private void pause() {
    try {
      TimeUnit.NANOSECONDS.sleep(pausePerRead.toNanos());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads until an instant. */
  private static final class TimedInput {

    private final Socket socket;
    private final long until;
    private final byte[] buffer = new byte[SMALL_BUFFER_BYTES];
    private int position;
    private int limit;

    TimedInput(Socket socket, long until) {
      this.socket = socket;
      this.until = until;
    }

    String readLine() throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int next = read(); next != '\n'; next = read()) {
        line.write(next);
      }
      return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    void readText(int length, StringBuilder text) throws IOException {
      for (int index = 0; index < length; index++) {
        text.append((char) read());
      }
    }

    private int read() throws IOException {
      if (position == limit) {
        long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
        if (left <= 0) {
          throw new SocketTimeoutException();
        }
        socket.setSoTimeout((int) left);
        limit = socket.getInputStream().read(buffer);
        position = 0;
        if (limit < 0) {
          throw new EOFException();
        }
      }
      return buffer[position++];
    }
  }
}
