package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.dispatch.AttemptOutcome;
import org.parsleyhead.core.dispatch.AttemptResult;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.dispatch.ServingRequest;

@DisplayName("An attempt that is withdrawn since its server is silent")
class WithdrawnAttemptTests {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String FIRST_EVENT = "b\r\ndata: one\n\n\r\n";
  private static final String SECOND_EVENT = "b\r\ndata: two\n\n\r\n";
  private static final String END = "0\r\n\r\n";

  private final CountDownLatch proceed = new CountDownLatch(1);

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private void awaitProceed() throws IOException {
    try {
      assertTrue(proceed.await(20, TimeUnit.SECONDS));
    } catch (InterruptedException exception) {
      throw new IOException(exception);
    }
  }

  private static String readUntilEnd(Socket caller) throws IOException {
    caller.setSoTimeout(20_000);
    StringBuilder received = new StringBuilder();
    while (received.indexOf(END) < 0) {
      int next = caller.getInputStream().read();
      if (next < 0) {
        return received.append("<closed>").toString();
      }
      received.append((char) next);
    }
    return received.toString();
  }

  @Test
  @DisplayName("goes on if its first event has reached the caller, LOST at 14.891 s of issue 29")
  void goesOnAfterFirstEvent() throws Exception {
    try (FakeRawServer server =
            new FakeRawServer(
                (identifier, output) -> {
                  output.write(text(HEAD + FIRST_EVENT));
                  awaitProceed();
                  output.write(text(SECOND_EVENT + END));
                });
        ForwardingHost host = new ForwardingHost(server.port());
        Socket caller = host.request("/stream", "r")) {
      ServingRequest request = host.nextRequest();
      assertInstanceOf(DispatchEvent.ResponseStarted.class, host.nextEvent());
      host.withdraw(request, false);
      proceed.countDown();
      String received = readUntilEnd(caller);
      assertTrue(received.contains("data: two") && received.endsWith(END), received);
      assertEquals(AttemptOutcome.COMPLETED, host.nextEnd().result().outcome());
    }
  }

  @Test
  @DisplayName("ends and closes its connection if nothing of a response has come")
  void endsWithoutResponse() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    try (FakeRawServer server = new FakeRawServer((identifier, output) -> received.countDown());
        ForwardingHost host = new ForwardingHost(server.port());
        Socket caller = host.request("/stream", "r")) {
      assertTrue(received.await(20, TimeUnit.SECONDS));
      host.withdraw(host.nextRequest(), false);
      AttemptResult result = host.nextEnd().result();
      assertEquals(AttemptOutcome.WITHDRAWN, result.outcome());
      assertTrue(!result.responseStarted() && result.lostAt().isEmpty());
      assertTrue(caller.isConnected());
    }
  }

  @Test
  @DisplayName("goes on if an event has come since the stream was found silent")
  void goesOnAfterNextEvent() throws Exception {
    try (FakeRawServer server =
            new FakeRawServer(
                (identifier, output) -> {
                  output.write(text(HEAD + FIRST_EVENT));
                  awaitProceed();
                  output.write(text(SECOND_EVENT + END));
                });
        ForwardingHost host = new ForwardingHost(server.port());
        Socket caller = host.request("/stream", "r")) {
      final ServingRequest request = host.nextRequest();
      assertInstanceOf(DispatchEvent.ResponseStarted.class, host.nextEvent());
      assertInstanceOf(DispatchEvent.StreamSilent.class, host.nextEvent());
      proceed.countDown();
      assertTrue(readUntilEnd(caller).endsWith(END));
      host.withdraw(request, true);
      assertEquals(AttemptOutcome.COMPLETED, host.nextEnd().result().outcome());
    }
  }

  @Test
  @DisplayName("ends if the stream is still silent, and the response may be resumed")
  void endsSilentStream() throws Exception {
    try (FakeRawServer server =
            new FakeRawServer((identifier, output) -> output.write(text(HEAD + FIRST_EVENT)));
        ForwardingHost host = new ForwardingHost(server.port());
        Socket caller = host.request("/stream", "r")) {
      ServingRequest request = host.nextRequest();
      assertInstanceOf(DispatchEvent.ResponseStarted.class, host.nextEvent());
      assertInstanceOf(DispatchEvent.StreamSilent.class, host.nextEvent());
      host.withdraw(request, true);
      AttemptResult result = host.nextEnd().result();
      assertEquals(AttemptOutcome.WITHDRAWN, result.outcome());
      assertTrue(result.responseStarted());
      assertTrue(caller.isConnected());
    }
  }

  /** A request that was never written used up the run that its stream needed later. */
  @Test
  @DisplayName("has not run if its connection was not open yet")
  void hasNotRunWithoutConnection() throws Exception {
    try (FullBacklog server = new FullBacklog();
        ForwardingHost host = new ForwardingHost(server.port());
        Socket caller = host.request("/stream", "r")) {
      host.withdraw(host.nextRequest(), false);
      AttemptResult result = host.nextEnd().result();
      assertEquals(AttemptOutcome.NOT_SENT, result.outcome());
      assertTrue(caller.isConnected());
    }
  }
}
