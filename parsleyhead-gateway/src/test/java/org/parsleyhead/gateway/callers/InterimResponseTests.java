package org.parsleyhead.gateway.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against interim responses that are lost behind an answer, and unbounded answers. */
@DisplayName("A connection with a request behind an answer")
@Timeout(60)
class InterimResponseTests {

  private static void settle(AnsweringHost host) throws Exception {
    for (int round = 0; round < 40; round++) {
      Thread.sleep(5);
      host.run(() -> {});
    }
  }

  private static void write(Socket caller, String text) throws Exception {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Test
  @Tag("known-red")
  @DisplayName("asks for the body of the request once the answer has ended")
  void asksForBody() throws Exception {
    try (AnsweringHost host = new AnsweringHost();
        Socket caller = host.connect()) {
      AnsweringHost.request(caller, "/stream");
      Exchange stream = host.next();
      host.run(
          () -> {
            stream.startStream(HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE);
            stream.writeEvents(Unpooled.wrappedBuffer(new byte[] {'a', '\n'}), Optional.empty());
          });
      write(
          caller,
          "POST /next HTTP/1.1\r\nHost: host\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
      settle(host);
      host.run(
          () -> {
            stream.writeEvents(Unpooled.wrappedBuffer(new byte[] {'b', '\n'}), Optional.empty());
            stream.endStream();
          });
      StringBuilder text = new StringBuilder();
      byte[] buffer = new byte[4_096];
      while (!text.toString().contains("100 Continue")) {
        int read = caller.getInputStream().read(buffer);
        assertTrue(read > 0, "ended after " + text);
        text.append(new String(buffer, 0, read, StandardCharsets.ISO_8859_1));
      }
      int end = text.indexOf("0\r\n\r\n");
      assertTrue(end > 0 && end < text.indexOf("100 Continue"), text::toString);
    }
  }

  @Test
  @Tag("known-red")
  @DisplayName("does not pass requests on without end while its caller reads no answer")
  void boundsUnreadAnswers() throws Exception {
    try (AnsweringHost host = new AnsweringHost();
        Socket caller = host.connect()) {
      for (int request = 0; request < 64; request++) {
        AnsweringHost.request(caller, "/large" + request);
      }
      int answered = 0;
      for (; answered < 64; answered++) {
        settleShort(host);
        if (host.furtherRequests() == 0) {
          break;
        }
        host.answer(host.next(), new byte[1 << 20]);
      }
      assertFalse(answered == 64, "64 MiB of answers are buffered for one caller");
      assertEquals(0, host.furtherRequests());
    }
  }

  private static void settleShort(AnsweringHost host) throws Exception {
    for (int round = 0; round < 4; round++) {
      Thread.sleep(5);
      host.run(() -> {});
    }
  }
}
