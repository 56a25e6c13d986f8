package org.parsleyhead.runtime.log;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@DisplayName("The handler of log records")
@Timeout(60)
class RingLogHandlerTests {

  private static final int ROUNDS = 10;

  /** Within the pause of the writer between two batches. */
  private static final long FLUSH_DELAY_MILLISECONDS = 10;

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final RingLogHandler handler =
      new RingLogHandler(new PrintStream(output, true, StandardCharsets.UTF_8));

  /** Guards against a line that the writer had taken but not written when the process ended. */
  @Test
  @DisplayName("has written every line when a flush returns, also those that the writer collects")
  void writesCollectedLines() throws Exception {
    handler.start();
    for (int round = 0; round < ROUNDS; round++) {
      handler.publish(new LogRecord(Level.INFO, "line=" + round));
      Thread.sleep(FLUSH_DELAY_MILLISECONDS);
      handler.flush();
      String written = output.toString(StandardCharsets.UTF_8);
      assertTrue(written.contains("line=" + round), "round " + round + ": " + written);
    }
  }

  @Test
  @DisplayName("writes lines without a flush")
  void writesWithoutFlush() throws Exception {
    handler.start();
    handler.publish(new LogRecord(Level.INFO, "line=first"));
    while (!output.toString(StandardCharsets.UTF_8).contains("line=first")) {
      Thread.sleep(5);
    }
  }
}
