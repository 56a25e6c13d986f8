package org.parsleyhead.standin.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.standin.StandinException;
import org.parsleyhead.standin.http.HeaderField;

/**
 * Encodes and decodes ledger entries as JSON Lines: one JSON object in each line.
 *
 * <p>Stateless and thread-safe.
 */
public final class LedgerCodec {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private LedgerCodec() {}

  /** Encodes an entry as one line without a line terminator. */
  public static String encode(LedgerEntry entry) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("upstream", entry.upstream());
    node.put("kind", entry.kind());
    node.put("request_id", entry.requestIdentifier().orElse(null));
    node.put("model", entry.model());
    node.put("target", entry.target());
    node.put("idempotency_key", entry.idempotencyKey().orElse(null));
    node.put("content_digest", entry.contentDigest());
    ArrayNode headers = node.putArray("headers");
    entry.headers().forEach(field -> headers.addArray().add(field.name()).add(field.value()));
    node.put("start_milliseconds", entry.startMilliseconds());
    node.put("end_milliseconds", entry.endMilliseconds());
    node.put("outcome", entry.outcome());
    node.put("prompt_tokens", entry.promptTokens());
    node.put("first_token", entry.firstToken());
    node.put("tokens", entry.tokens());
    node.put("note", entry.note());
    return node.toString();
  }

  /**
   * Decodes one line.
   *
   * @throws StandinException if the line is not a ledger entry
   */
  public static LedgerEntry decode(String line) {
    JsonNode node = parse(line);
    return new LedgerEntry(
        node.path("upstream").asText(),
        node.path("kind").asText(),
        optionalText(node, "request_id"),
        node.path("model").asText(),
        node.path("target").asText(),
        optionalText(node, "idempotency_key"),
        node.path("content_digest").asText(),
        readHeaders(node.path("headers")),
        node.path("start_milliseconds").asLong(),
        node.path("end_milliseconds").asLong(),
        node.path("outcome").asText(),
        node.path("prompt_tokens").asInt(),
        node.path("first_token").asInt(),
        node.path("tokens").asInt(),
        node.path("note").asText());
  }

  private static JsonNode parse(String line) {
    try {
      JsonNode node = MAPPER.readTree(line);
      if (!node.isObject() || !node.path("upstream").isTextual()) {
        throw new StandinException(StandinException.BAD_REQUEST, "not a ledger entry: " + line);
      }
      return node;
    } catch (JsonProcessingException exception) {
      throw new StandinException(
          StandinException.BAD_REQUEST, "not a ledger entry: " + line, exception);
    }
  }

  private static Optional<String> optionalText(JsonNode node, String name) {
    return node.hasNonNull(name) ? Optional.of(node.get(name).asText()) : Optional.empty();
  }

  private static List<HeaderField> readHeaders(JsonNode array) {
    List<HeaderField> headers = new ArrayList<>();
    array.forEach(
        pair -> headers.add(new HeaderField(pair.path(0).asText(), pair.path(1).asText())));
    return headers;
  }
}
