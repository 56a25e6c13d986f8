package org.parsleyhead.codec.openai;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleyhead.codec.CodecException;

@DisplayName("The parser of completion streams")
class StreamChunkParserTests {

  private static StreamChunk parse(String event) {
    return StreamChunkParser.parse(event.getBytes(StandardCharsets.UTF_8));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "data: [DONE] | DONE",
        "data:[DONE] | DONE",
        ": comment | OTHER",
        "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]} | CONTENT",
        "data: {\"choices\":[{\"text\":\"a\"}]} | CONTENT",
        "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]} | OPENING",
        "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]} | FINISH",
        "data: {\"choices\":[],\"usage\":{\"total_tokens\":7}} | USAGE",
        "data: {\"error\":{\"message\":\"broken\"}} | ERROR"
      })
  @DisplayName("distinguishes the kinds of events")
  void distinguishesKinds(String event, StreamChunk.Kind kind) {
    assertEquals(kind, parse(event + "\n\n").kind());
    assertEquals(kind, parse("event: message\r\n" + event + "\r\n\r\n").kind());
  }

  @Test
  @DisplayName("reads model and usage, including from multi-line data")
  void readsFields() {
    StreamChunk chunk =
        parse(
            "data: {\"model\":\"a@1\",\ndata: \"choices\":[],\"usage\":{\"total_tokens\":9}}\n\n");
    assertEquals(Optional.of("a@1"), chunk.model());
    assertEquals(9, chunk.totalTokens());
  }

  @Test
  @DisplayName("rejects data that is not JSON")
  void rejectsInvalidJson() {
    assertThrows(CodecException.class, () -> parse("data: {\"choices\":\n\n"));
  }

  @Test
  @DisplayName("splits a stream into the same events regardless of how its bytes are divided")
  void splits() {
    byte[] stream = "data: one\n\ndata: two\r\n\r\n: three\n\n".getBytes(StandardCharsets.UTF_8);
    for (int size = 1; size <= stream.length; size++) {
      EventStreamSplitter splitter = new EventStreamSplitter();
      List<String> events = new ArrayList<>();
      for (int start = 0; start < stream.length; start += size) {
        byte[] part = Arrays.copyOfRange(stream, start, Math.min(stream.length, start + size));
        splitter
            .add(part)
            .forEach(event -> events.add(new String(event, StandardCharsets.UTF_8).strip()));
      }
      assertEquals(List.of("data: one", "data: two", ": three"), events);
    }
  }
}
