package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.dispatch.AttemptOutcome;

@DisplayName("A server that responds without a length and resets the connection")
@Timeout(60)
class ResetWhileSendingTests {

  private static final int UPLOAD_BYTES = 900_000;
  private static final int READ_BYTES = 1000;

  /** Reads the beginning of a request, responds with part of a body, and resets the connection. */
  private static void respondAndReset(ServerSocket listener, int delayMilliseconds) {
    try (Socket connection = listener.accept()) {
      connection.setReceiveBufferSize(READ_BYTES);
      connection.getInputStream().readNBytes(READ_BYTES);
      OutputStream output = connection.getOutputStream();
      output.write(
          "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\n\r\npart".getBytes(StandardCharsets.ISO_8859_1));
      Thread.sleep(delayMilliseconds);
      connection.setSoLinger(true, 0);
    } catch (IOException | InterruptedException failure) {
      throw new IllegalStateException(failure);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 5, 33})
  @DisplayName(
      "while the request is still written gives no complete response, which guards against a part"
          + " that is taken for the whole")
  void isNotComplete(int delayMilliseconds) throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ForwardingHost host = new ForwardingHost(listener.getLocalPort());
        Socket caller = host.connect()) {
      Thread server = new Thread(() -> respondAndReset(listener, delayMilliseconds));
      server.setDaemon(true);
      server.start();
      OutputStream output = caller.getOutputStream();
      output.write(
          ("POST /plain HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: "
                  + UPLOAD_BYTES
                  + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      output.write(new byte[UPLOAD_BYTES]);
      AttemptOutcome outcome = host.nextEnd().result().outcome();
      assertNotEquals(AttemptOutcome.COMPLETED, outcome);
      assertEquals(AttemptOutcome.BROKEN, outcome);
    }
  }
}
