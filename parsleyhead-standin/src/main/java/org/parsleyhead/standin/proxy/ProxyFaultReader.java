package org.parsleyhead.standin.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.OptionalLong;
import org.parsleyhead.standin.StandinException;

/**
 * Decodes proxy faults from JSON.
 *
 * <p>Stateless and thread-safe.
 */
public final class ProxyFaultReader {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private ProxyFaultReader() {}

  /**
   * Decodes a fault from a JSON document.
   *
   * @throws StandinException if the document is not JSON, or its scope or a mode is unknown
   */
  public static ProxyFault read(byte[] document) {
    try {
      return read(MAPPER.readTree(document));
    } catch (IOException exception) {
      throw new StandinException(StandinException.BAD_REQUEST, "the body is not JSON", exception);
    }
  }

  /**
   * Decodes a fault from a node of a JSON document.
   *
   * @throws StandinException if the scope or a mode is unknown
   */
  public static ProxyFault read(JsonNode node) {
    return new ProxyFault(
        scope(node.path("scope").asText("all")),
        node.path("cut").asBoolean(),
        direction(node.path("to_target")),
        direction(node.path("to_caller")));
  }

  private static ProxyFault.Scope scope(String text) {
    for (ProxyFault.Scope scope : ProxyFault.Scope.values()) {
      if (scope.name().toLowerCase(Locale.ROOT).equals(text)) {
        return scope;
      }
    }
    throw new StandinException(StandinException.BAD_REQUEST, "scope is unknown: " + text);
  }

  private static DirectionFault direction(JsonNode node) {
    double delay = node.path("delay_milliseconds").asDouble();
    return new DirectionFault(
        DirectionFault.Mode.parse(node.path("mode").asText("pass")),
        Duration.ofNanos((long) (delay * NANOSECONDS_PER_MILLISECOND)),
        node.has("reset_after_bytes")
            ? OptionalLong.of(node.get("reset_after_bytes").asLong())
            : OptionalLong.empty());
  }
}
