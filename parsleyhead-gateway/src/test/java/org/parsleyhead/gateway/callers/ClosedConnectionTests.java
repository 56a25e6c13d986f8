package org.parsleyhead.gateway.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against responses that are cut by the close of their connection. */
@DisplayName("A connection that the host closes")
@Timeout(60)
class ClosedConnectionTests {

  /** More than the buffers of both sockets hold. */
  private static final byte[] LARGE_BODY = new byte[24 << 20];

  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(800);
  private static final int SLOW_READ_BYTES = 1 << 20;
  private static final int SLOW_READ_PAUSE_MILLISECONDS = 100;

  private static long readToEnd(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    byte[] buffer = new byte[64 << 10];
    long total = 0;
    for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
      total += read;
    }
    return total;
  }

  private static String readText(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  @Test
  @DisplayName("by a stop delivers a response that its caller has not read yet")
  void deliversUnreadResponse() throws Exception {
    try (AnsweringHost host = new AnsweringHost();
        Socket caller = host.connect()) {
      AnsweringHost.request(caller, "/large");
      host.answer(host.next(), LARGE_BODY);
      host.closeIdle();
      host.closeIdle();
      long bytes = readToEnd(caller);
      assertTrue(bytes > LARGE_BODY.length, () -> bytes + " of " + LARGE_BODY.length);
    }
  }

  @Test
  @DisplayName("as idle delivers a response that its caller is still reading")
  void deliversSlowlyReadResponse() throws Exception {
    try (AnsweringHost host = new AnsweringHost(IDLE_TIMEOUT);
        Socket caller = host.connect()) {
      AnsweringHost.request(caller, "/large");
      host.answer(host.next(), LARGE_BODY);
      long read = 0;
      while (read < LARGE_BODY.length) {
        int part = caller.getInputStream().readNBytes(SLOW_READ_BYTES).length;
        assertTrue(part > 0, "ended after " + read);
        read += part;
        Thread.sleep(SLOW_READ_PAUSE_MILLISECONDS);
      }
    }
  }

  @Test
  @DisplayName("as idle is closed if its caller never reads")
  void closesStalled() throws Exception {
    try (AnsweringHost host = new AnsweringHost(Duration.ofMillis(50));
        Socket caller = host.connect()) {
      AnsweringHost.request(caller, "/large");
      host.answer(host.next(), LARGE_BODY);
      while (host.server().unansweredRequests() > 0) {
        Thread.sleep(10);
      }
    }
  }

  @Test
  @DisplayName("by a stop answers all requests that were pipelined before, the last with a close")
  void answersPipelined() throws Exception {
    try (AnsweringHost host = new AnsweringHost();
        Socket caller = host.connect()) {
      AnsweringHost.request(caller, "/first");
      AnsweringHost.request(caller, "/second");
      final Exchange first = host.next();
      while (host.server().unansweredRequests() < 2) {
        Thread.sleep(1);
      }
      host.closeIdle();
      host.answer(first, "first".getBytes(StandardCharsets.ISO_8859_1));
      host.answer(host.next(), "second".getBytes(StandardCharsets.ISO_8859_1));
      String responses = readText(caller);
      assertTrue(responses.endsWith("second"), responses);
      int close = responses.toLowerCase(java.util.Locale.ROOT).indexOf("connection: close");
      assertTrue(close > responses.indexOf("first"), responses);
    }
  }

  @Test
  @DisplayName("passes no request on after it has announced the close")
  void passesNothingOnAfterAnnouncement() throws Exception {
    try (AnsweringHost host = new AnsweringHost();
        Socket caller = host.connect()) {
      AnsweringHost.request(caller, "/stream");
      Exchange stream = host.next();
      host.closeIdle();
      host.run(
          () -> {
            stream.startStream(HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE);
            stream.writeEvents(Unpooled.wrappedBuffer(new byte[] {'a', '\n'}), Optional.empty());
          });
      AnsweringHost.request(caller, "/late");
      for (int round = 0; round < 20; round++) {
        Thread.sleep(5);
        host.run(() -> {});
      }
      assertEquals(1, host.server().unansweredRequests());
      host.run(stream::endStream);
      String response = readText(caller);
      assertTrue(response.endsWith("0\r\n\r\n"), response);
      assertEquals(0, host.furtherRequests());
    }
  }

  @Test
  @DisplayName("delivers the response before one that is broken off")
  void deliversResponseBeforeAborted() throws Exception {
    try (AnsweringHost host = new AnsweringHost();
        Socket caller = host.connect()) {
      AnsweringHost.request(caller, "/large");
      AnsweringHost.request(caller, "/broken");
      host.answer(host.next(), LARGE_BODY);
      Exchange broken = host.next();
      host.run(broken::abort);
      long bytes = readToEnd(caller);
      assertTrue(bytes > LARGE_BODY.length, () -> bytes + " of " + LARGE_BODY.length);
    }
  }

  @Test
  @DisplayName("after a malformed request answers those that were taken before it")
  void answersBeforeMalformed() throws Exception {
    try (AnsweringHost host = new AnsweringHost();
        Socket caller = host.connect()) {
      AnsweringHost.request(caller, "/first");
      AnsweringHost.request(caller, "/second");
      caller.getOutputStream().write("not http\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      host.answer(host.next(), "first".getBytes(StandardCharsets.ISO_8859_1));
      host.answer(host.next(), "second".getBytes(StandardCharsets.ISO_8859_1));
      assertTrue(readText(caller).endsWith("second"));
    }
  }

  @Test
  @DisplayName("counts a request until the last byte of its response was written")
  void countsUntilWritten() throws Exception {
    try (AnsweringHost host = new AnsweringHost();
        Socket caller = host.connect()) {
      final Socket leaving = host.connect();
      assertEquals(0, host.server().unansweredRequests());
      AnsweringHost.request(caller, "/large");
      final Exchange exchange = host.next();
      AnsweringHost.request(leaving, "/left");
      host.next();
      assertEquals(2, host.server().unansweredRequests());
      leaving.close();
      while (host.server().unansweredRequests() > 1) {
        Thread.sleep(1);
      }
      host.answer(exchange, LARGE_BODY);
      assertEquals(1, host.server().unansweredRequests());
      host.closeIdle();
      readToEnd(caller);
      host.run(() -> {});
      assertEquals(0, host.server().unansweredRequests());
    }
  }

  @Test
  @DisplayName("is closed at once if it carries no request")
  void closesUnused() throws Exception {
    try (AnsweringHost host = new AnsweringHost();
        Socket caller = host.connect()) {
      AnsweringHost.request(caller, "/first");
      Exchange exchange = host.next();
      host.answer(exchange, new byte[0]);
      host.closeIdle();
      assertFalse(readText(caller).isEmpty());
    }
  }
}
