package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.parsleyhead.core.dispatch.AttemptOutcome;
import org.parsleyhead.core.dispatch.AttemptResult;

/** The events of all streams together exceed the memory of the host. */
@DisplayName("Streams that have begun and wait for memory")
@Timeout(120)
class StreamMemoryTests {

  private static final int STREAMS = 48;
  private static final int EVENT_BYTES = 900_000;
  private static final long SHARE_BYTES = 12 << 20;
  private static final long LIMIT_BYTES = 24 << 20;
  private static final String HEAD = "Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String FIRST_EVENT = "b\r\ndata: one\n\n\r\n";

  private final CountDownLatch proceed = new CountDownLatch(1);
  private final ExecutorService callers = Executors.newCachedThreadPool();

  @AfterEach
  void stop() {
    callers.shutdownNow();
  }

  private static void write(OutputStream output, String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String head(String identifier) {
    return "HTTP/1.1 200 OK\r\nId: " + identifier + "\r\n" + HEAD + FIRST_EVENT;
  }

  /** Writes a large event, whose end waits until the test proceeds. */
  private void answer(String identifier, OutputStream output) throws IOException {
    if (identifier.equals("small")) {
      write(output, RawResponses.response("200 OK", identifier));
      return;
    }
    write(output, head(identifier));
    write(output, Integer.toHexString(EVENT_BYTES + 2) + "\r\n" + "x".repeat(EVENT_BYTES));
    try {
      assertTrue(proceed.await(60, TimeUnit.SECONDS));
    } catch (InterruptedException exception) {
      throw new IOException(exception);
    }
    write(output, "\n\n\r\n0\r\n\r\n");
  }

  private List<Future<Optional<RawCaller.Response>>> callAll(ForwardingHost host) {
    List<Future<Optional<RawCaller.Response>>> calls = new ArrayList<>();
    for (int index = 0; index < STREAMS; index++) {
      String identifier = "s" + index;
      calls.add(callers.submit(() -> new RawCaller(host).call("/stream", identifier)));
    }
    return calls;
  }

  private static void awaitBufferedBytes(ForwardingHost host, long bytes) throws Exception {
    while (host.bufferedBytes() < bytes) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
    // Long enough for all streams to arrive, if they are read.
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(700));
  }

  @Test
  @DisplayName("are not ended, and go on once others release memory; small responses pass them")
  void areNotEnded() throws Exception {
    try (FakeRawServer server = new FakeRawServer(this::answer);
        ForwardingHost host = new ForwardingHost(server.port());
        RawCaller small = new RawCaller(host)) {
      final List<Future<Optional<RawCaller.Response>>> calls = callAll(host);
      awaitBufferedBytes(host, SHARE_BYTES);
      assertTrue(host.bufferedBytes() <= LIMIT_BYTES, () -> "buffered too much");
      assertEquals(Optional.of(new RawCaller.Response(200, "x")), small.call("/plain", "small"));
      proceed.countDown();
      for (int index = 0; index <= STREAMS; index++) {
        assertEquals(AttemptOutcome.COMPLETED, host.nextEnd().result().outcome());
      }
      for (Future<Optional<RawCaller.Response>> call : calls) {
        Optional<RawCaller.Response> response = call.get(60, TimeUnit.SECONDS);
        assertEquals(Optional.of(EVENT_BYTES + 13), response.map(whole -> whole.body().length()));
      }
      assertEquals(0, host.bufferedBytes());
    }
  }

  @Test
  @DisplayName("are ended by their servers only if their events never end")
  void endOfEndlessEvents() throws Exception {
    try (FakeRawServer server =
            new FakeRawServer(
                (identifier, output) -> {
                  if (identifier.equals("small")) {
                    write(output, RawResponses.response("200 OK", identifier));
                    return;
                  }
                  write(output, head(identifier));
                  String piece = "4000\r\n" + "x".repeat(0x4000) + "\r\n";
                  while (true) {
                    write(output, piece);
                  }
                });
        ForwardingHost host = new ForwardingHost(server.port());
        RawCaller small = new RawCaller(host)) {
      final List<Future<Optional<RawCaller.Response>>> calls = callAll(host);
      assertEquals(Optional.of(new RawCaller.Response(200, "x")), small.call("/plain", "small"));
      int broken = 0;
      while (broken < STREAMS) {
        assertTrue(host.bufferedBytes() <= LIMIT_BYTES, () -> "buffered too much");
        AttemptResult result = host.nextEnd().result();
        if (result.outcome() == AttemptOutcome.BROKEN) {
          assertEquals("event_too_large", result.reason());
          assertTrue(result.responseStarted());
          broken++;
        }
      }
      assertEquals(0, host.bufferedBytes());
      calls.forEach(call -> call.cancel(true));
    }
  }
}
