package org.parsleyhead.review;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Accepts connections on a loopback port; one thread serves each. Thread-safe. */
final class HttpListener implements AutoCloseable {

  /** Answers one request. */
  interface Handler {
    void handle(HttpMessage request, OutputStream output) throws Exception;
  }

  private final ServerSocket socket;
  private final Handler handler;

  HttpListener(Handler handler) throws IOException {
    this.socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    this.handler = handler;
    Threads.start("accept", this::accept);
  }

  int port() {
    return socket.getLocalPort();
  }

  static void respond(OutputStream output, int status, String headers, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + bytes.length;
    output.write((head + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
    output.write(bytes);
    output.flush();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private void accept() throws IOException {
    while (true) {
      Socket connection = socket.accept();
      connection.setTcpNoDelay(true);
      Threads.start("serve", () -> serve(connection));
    }
  }

  private void serve(Socket connection) throws Exception {
    try (connection) {
      BufferedInputStream input = new BufferedInputStream(connection.getInputStream());
      OutputStream output = new BufferedOutputStream(connection.getOutputStream());
      for (HttpMessage request = HttpMessage.read(input);
          request != null;
          request = HttpMessage.read(input)) {
        handler.handle(request, output);
      }
    }
  }
}
