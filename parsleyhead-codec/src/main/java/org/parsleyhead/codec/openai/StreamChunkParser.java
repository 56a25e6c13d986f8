package org.parsleyhead.codec.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.parsleyhead.codec.CodecException;

/**
 * Reads the events of a completion stream.
 *
 * <p>Stateless and thread-safe.
 */
public final class StreamChunkParser {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DATA_FIELD = "data:";
  private static final String DONE = "[DONE]";

  private StreamChunkParser() {}

  /**
   * Parses one event, from its first byte to before the empty line that ends it.
   *
   * @throws CodecException if the event carries data that is not a completion chunk
   */
  public static StreamChunk parse(byte[] event) {
    String text = new String(event, StandardCharsets.UTF_8);
    StringBuilder data = new StringBuilder();
    for (String line : text.split("\r?\n")) {
      if (line.startsWith(DATA_FIELD)) {
        data.append(line.substring(DATA_FIELD.length()).strip());
      }
    }
    if (data.isEmpty()) {
      return new StreamChunk(StreamChunk.Kind.OTHER, Optional.empty(), 0);
    }
    if (data.toString().equals(DONE)) {
      return new StreamChunk(StreamChunk.Kind.DONE, Optional.empty(), 0);
    }
    return parseData(data.toString());
  }

  private static StreamChunk parseData(String data) {
    try {
      JsonNode root = MAPPER.readTree(data);
      Optional<String> model = Optional.ofNullable(root.path("model").textValue());
      return new StreamChunk(kindOf(root), model, root.path("usage").path("total_tokens").asLong());
    } catch (IOException exception) {
      throw new CodecException(
          CodecException.MALFORMED, "the event is not a completion chunk", exception);
    }
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
