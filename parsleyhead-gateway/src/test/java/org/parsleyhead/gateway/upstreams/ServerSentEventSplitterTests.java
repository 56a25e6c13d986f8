package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Server-sent events")
class ServerSentEventSplitterTests {

  private final ServerSentEventSplitter splitter = new ServerSentEventSplitter();

  private String split(String text) {
    return new String(
        splitter.split(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
  }

  @Test
  @DisplayName("are held back until they are complete")
  void holdsBackPartialEvents() {
    assertEquals("", split("id: 1\ndata: a"));
    assertTrue(splitter.pendingBytes() > 0);
    assertEquals("id: 1\ndata: a\n\n", split("\n\nid: 2"));
    assertEquals(Optional.of("1"), splitter.lastIdentifier());
  }

  @Test
  @DisplayName("leave no remainder when the last one is complete")
  void leavesNoRemainder() {
    assertEquals("id: 1\n\nid: 2\ndata: id:9\n\n", split("id: 1\n\nid: 2\ndata: id:9\n\n"));
    assertEquals(0, splitter.pendingBytes());
    assertEquals(Optional.of("2"), splitter.lastIdentifier());
  }

  @Test
  @DisplayName("may end their lines with a carriage return before the line feed")
  void acceptsCarriageReturns() {
    assertEquals("id: 7\r\ndata: x\r\n\r\n", split("id: 7\r\ndata: x\r\n\r\n"));
    assertEquals(Optional.of("7"), splitter.lastIdentifier());
  }

  @Test
  @DisplayName("are found when they arrive byte by byte, and keep the start of the next one")
  void acceptsSingleBytes() {
    StringBuilder received = new StringBuilder();
    for (char character : "id: 1\r\ndata: a\r\n\r\nid: 2\n\nid: 3".toCharArray()) {
      received.append(split(String.valueOf(character)));
    }
    assertEquals("id: 1\r\ndata: a\r\n\r\nid: 2\n\n", received.toString());
    assertEquals(Optional.of("2"), splitter.lastIdentifier());
    assertEquals("id: 3".length(), splitter.pendingBytes());
  }
}
