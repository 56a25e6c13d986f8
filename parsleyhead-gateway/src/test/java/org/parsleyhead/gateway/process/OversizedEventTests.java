package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.parsleyhead.gateway.upstreams.FakeRawServer;

/** Bytes without the end of an event are no answer, so that they are the end of their server. */
@DisplayName("A stream that has begun, and whose next event never ends")
@Timeout(60)
class OversizedEventTests {

  private static final String KEY = "key";

  private final AtomicInteger runs = new AtomicInteger();

  private static void write(OutputStream output, String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void writeEvent(OutputStream output, int number) throws IOException {
    String event = event(number);
    write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
  }

  private static String event(int number) {
    return "id: " + number + "\ndata: " + number + "\n\n";
  }

  /** Sends one event, and then, in the first runs, an event without an end. */
  private void answer(String identifier, OutputStream output, int endlessRuns) throws IOException {
    int run = runs.incrementAndGet();
    write(
        output,
        "HTTP/1.1 200 OK\r\nId: "
            + identifier
            + "\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    writeEvent(output, run);
    String piece = "4000\r\n" + "x".repeat(0x4000) + "\r\n";
    while (run <= endlessRuns) {
      write(output, piece);
    }
    write(output, "0\r\n\r\n");
  }

  private DrawnCaller.Answer call(int endlessRuns) throws IOException {
    FakeRawServer.Script script = (identifier, output) -> answer(identifier, output, endlessRuns);
    try (FakeRawServer first = new FakeRawServer(script);
        FakeRawServer second = new FakeRawServer(script);
        DispatchingHost host =
            new DispatchingHost(List.of(first.port(), second.port()), Set.of(KEY))) {
      return new DrawnCaller(
              "oversized", "/stream", KEY, Duration.ofSeconds(10), Duration.ZERO, Optional.empty())
          .call(host.port());
    }
  }

  @Test
  @DisplayName("is resumed at another server")
  void isResumed() throws Exception {
    DrawnCaller.Answer answer = call(1);
    assertEquals(DrawnCaller.End.WHOLE, answer.end());
    assertEquals(event(1) + event(2), answer.body());
    assertEquals(2, runs.get());
  }

  @Test
  @DisplayName("is broken off only with no run left")
  void isBrokenOffWithoutRun() throws Exception {
    DrawnCaller.Answer answer = call(DispatchingHost.RUNS);
    assertEquals(DrawnCaller.End.CUT, answer.end());
    assertEquals(event(1) + event(2), answer.body());
    assertEquals(DispatchingHost.RUNS, runs.get());
    assertTrue(answer.elapsed().compareTo(Duration.ofSeconds(10)) < 0, "ended by its deadline");
  }
}
