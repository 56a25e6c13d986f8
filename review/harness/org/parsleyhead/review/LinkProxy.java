package org.parsleyhead.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The link between all machines and one server, which can be cut and healed.
 *
 * <p>Thread-safe. A cut is silent. Bytes that are sent on an open connection during a cut are held
 * up, also if their sender closes the connection, and arrive with the first retransmission after
 * the end of the cut: TCP sends again 0.2 s after the first time and doubles the pause each time.
 * They are lost if the sender resets the connection. A connection that is opened during a cut
 * carries nothing.
 */
final class LinkProxy {

  private static final long FIRST_PAUSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final int BUFFER_BYTES = 64 << 10;

  private final ServerSocket listener;
  private final int serverPort;
  private final Consumer<byte[]> onHeldUp;
  private boolean cut;

  LinkProxy(int serverPort, Consumer<byte[]> onHeldUp) throws IOException {
    this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    this.serverPort = serverPort;
    this.onHeldUp = onHeldUp;
    Threads.start("link", this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  synchronized void cut() {
    cut = true;
  }

  synchronized void heal() {
    cut = false;
    notifyAll();
  }

  private synchronized boolean isCut() {
    return cut;
  }

  private void accept() throws IOException {
    while (true) {
      Socket client = listener.accept();
      if (isCut()) {
        Threads.start("silent", () -> discard(client));
        continue;
      }
      client.setTcpNoDelay(true);
      Socket server = new Socket(InetAddress.getByName("127.0.0.1"), serverPort);
      server.setTcpNoDelay(true);
      Threads.start("to-server", () -> forward(client, server, onHeldUp));
      Threads.start("to-client", () -> forward(server, client, bytes -> {}));
    }
  }

  private static void discard(Socket client) throws IOException {
    try (client) {
      client.getInputStream().transferTo(OutputStream.nullOutputStream());
    }
  }

  private void forward(Socket source, Socket target, Consumer<byte[]> heldUp) throws Exception {
    try {
      InputStream input = source.getInputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        if (isCut()) {
          heldUp.accept(Arrays.copyOf(buffer, count));
          awaitRetransmission(System.nanoTime());
        }
        target.getOutputStream().write(buffer, 0, count);
        target.getOutputStream().flush();
      }
      if (isCut()) {
        awaitRetransmission(System.nanoTime());
      }
      target.shutdownOutput();
    } catch (IOException exception) {
      source.close();
      target.close();
    }
  }

  private void awaitRetransmission(long sentAt) throws InterruptedException {
    synchronized (this) {
      while (cut) {
        wait();
      }
    }
    long healedAt = System.nanoTime();
    long pause = FIRST_PAUSE_NANOSECONDS;
    long sentAgainAt = sentAt + pause;
    while (sentAgainAt < healedAt) {
      pause *= 2;
      sentAgainAt += pause;
    }
    TimeUnit.NANOSECONDS.sleep(sentAgainAt - System.nanoTime());
  }
}
