package org.parsleyhead.runtime.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("An event log")
class EventLogTests {

  @Test
  @DisplayName("writes key=value pairs in order and quotes values with special characters")
  void writesPairs() {
    assertEquals(
        "component=entry event=refused code=unknown_key path=\"/a b\" text=\"a\\\"=b c\""
            + " empty=\"\"",
        new EventLog("entry")
            .line(
                "refused", "code", "unknown_key", "path", "/a b", "text", "a\"=b\nc", "empty", ""));
  }

  @Test
  @DisplayName("writes a failure with its stack trace as one line")
  void writesOneLine() {
    LogRecord record = new LogRecord(Level.SEVERE, "component=entry event=failed");
    record.setInstant(Instant.EPOCH);
    record.setThrown(new IllegalStateException("two\nlines"));
    String line = new EventLineFormatter().format(record);
    assertTrue(
        line.startsWith(
            "time=1970-01-01T00:00:00Z level=severe component=entry event=failed trace="));
    assertFalse(line.stripTrailing().contains("\n"));
  }
}
