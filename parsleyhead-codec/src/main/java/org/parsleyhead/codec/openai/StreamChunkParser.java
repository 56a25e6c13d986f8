package org.parsleyhead.codec.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.parsleyhead.codec.CodecException;

/**
 * Parses the events of a completion stream.
 *
 * <p>Stateless and thread-safe.
 */
public final class StreamChunkParser {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

  private StreamChunkParser() {}

  /**
   * Parses one event, with or without the empty line that terminates it.
   *
   * @throws CodecException if the event contains data that is not a completion chunk
   */
  public static StreamChunk parse(byte[] event) {
    int start = dataStart(event, 0);
    if (start < 0) {
      return new StreamChunk(StreamChunk.Kind.OTHER, Optional.empty(), 0);
    }
    int end = lineEnd(event, start);
    if (dataStart(event, end) >= 0) {
      return parseData(joinedData(event));
    }
    return parseData(event, start, end);
  }

  private static StreamChunk parseData(byte[] data) {
    return parseData(data, 0, data.length);
  }

  private static StreamChunk parseData(byte[] bytes, int start, int end) {
    if (isDone(bytes, start, end)) {
      return new StreamChunk(StreamChunk.Kind.DONE, Optional.empty(), 0);
    }
    try {
      JsonNode root = MAPPER.readTree(bytes, start, end - start);
      Optional<String> model = Optional.ofNullable(root.path("model").textValue());
      return new StreamChunk(kindOf(root), model, root.path("usage").path("total_tokens").asLong());
    } catch (IOException exception) {
      throw new CodecException(
          CodecException.MALFORMED, "the event is not a completion chunk", exception);
    }
  }

  /** Returns the index at which the value of the next data field starts; -1 if there is none. */
  private static int dataStart(byte[] event, int from) {
    for (int line = from; line < event.length; line = lineEnd(event, line) + 1) {
      if (startsWith(event, line, DATA_FIELD)) {
        int start = line + DATA_FIELD.length;
        while (start < event.length && event[start] == ' ') {
          start++;
        }
        return start;
      }
    }
    return -1;
  }

  private static int lineEnd(byte[] event, int from) {
    int end = from;
    while (end < event.length && event[end] != '\n') {
      end++;
    }
    return end;
  }

  private static byte[] joinedData(byte[] event) {
    ByteArrayOutputStream data = new ByteArrayOutputStream();
    int start = dataStart(event, 0);
    while (start >= 0) {
      int end = lineEnd(event, start);
      data.write(event, start, end - start);
      start = dataStart(event, end);
    }
    return data.toByteArray();
  }

  private static boolean isDone(byte[] bytes, int start, int end) {
    int trimmed = end;
    while (trimmed > start && bytes[trimmed - 1] <= ' ') {
      trimmed--;
    }
    return trimmed - start == DONE.length && startsWith(bytes, start, DONE);
  }

  private static boolean startsWith(byte[] bytes, int from, byte[] text) {
    return from + text.length <= bytes.length
        && Arrays.equals(bytes, from, from + text.length, text, 0, text.length);
  }

  private static StreamChunk.Kind kindOf(JsonNode root) {
    if (root.hasNonNull("error")) {
      return StreamChunk.Kind.ERROR;
    }
    JsonNode choices = root.path("choices");
    if (choices.isEmpty()) {
      return root.hasNonNull("usage") ? StreamChunk.Kind.USAGE : StreamChunk.Kind.OTHER;
    }
    JsonNode choice = choices.get(0);
    JsonNode delta = choice.path("delta");
    boolean content =
        !choice.path("text").asText("").isEmpty()
            || !delta.path("content").asText("").isEmpty()
            || delta.hasNonNull("tool_calls");
    if (content) {
      return StreamChunk.Kind.CONTENT;
    }
    return choice.hasNonNull("finish_reason") ? StreamChunk.Kind.FINISH : StreamChunk.Kind.OPENING;
  }
}
