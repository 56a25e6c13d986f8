package org.parsleyhead.load.result;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Optional;
import org.parsleyhead.load.LoadException;

/**
 * Encodes outcomes as newline-delimited JSON, one object per line.
 *
 * <p>Stateless and thread-safe.
 */
public final class OutcomeCodec {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private OutcomeCodec() {}

  /** Encodes an outcome as one line without a line terminator. */
  public static String encode(Outcome outcome) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("identifier", outcome.identifier());
    node.put("attempt", outcome.attempt());
    node.put("account", outcome.group().account());
    node.put("class", outcome.group().trafficClass());
    node.put("kind", outcome.group().kind());
    node.put("end", outcome.result().name().toLowerCase(Locale.ROOT));
    node.put("model", outcome.model());
    node.put("content_digest", outcome.contentDigest());
    node.put("target", outcome.target());
    node.put("idempotent", outcome.idempotent());
    node.put("refusal_expected", outcome.refusalExpected());
    node.put("due_milliseconds", outcome.dueEpochMilliseconds());
    node.put("due_nanoseconds", outcome.dueNanoseconds());
    node.put("late_nanoseconds", outcome.sendDelayNanoseconds());
    node.put("first_nanoseconds", outcome.firstTokenNanoseconds());
    node.put("total_nanoseconds", outcome.totalNanoseconds());
    node.put("prompt_tokens", outcome.promptTokens());
    node.put("tokens", outcome.tokens());
    node.put("maximum_tokens", outcome.maximumTokens());
    node.put("status", outcome.status());
    node.put("code", outcome.code());
    node.put("run", outcome.run());
    node.put("problem", outcome.problem().orElse(null));
    return node.toString();
  }

  /**
   * Decodes one line.
   *
   * @throws LoadException if the line is not an outcome
   */
  public static Outcome decode(String line) {
    JsonNode node = parse(line);
    return new Outcome(
        node.path("identifier").asText(),
        node.path("attempt").asInt(),
        new Outcome.Group(
            node.path("account").asText(), node.path("class").asText(), node.path("kind").asText()),
        Outcome.RequestResult.valueOf(node.path("end").asText().toUpperCase(Locale.ROOT)),
        node.path("model").asText(),
        node.path("content_digest").asText(),
        node.path("target").asText(),
        node.path("idempotent").asBoolean(),
        node.path("refusal_expected").asBoolean(),
        node.path("due_milliseconds").asLong(),
        node.path("due_nanoseconds").asLong(),
        node.path("late_nanoseconds").asLong(),
        node.path("first_nanoseconds").asLong(),
        node.path("total_nanoseconds").asLong(),
        node.path("prompt_tokens").asInt(),
        node.path("tokens").asInt(),
        node.path("maximum_tokens").asInt(),
        node.path("status").asInt(),
        node.path("code").asText(),
        node.path("run").asText(),
        node.hasNonNull("problem") ? Optional.of(node.get("problem").asText()) : Optional.empty());
  }

  private static JsonNode parse(String line) {
    try {
      JsonNode node = MAPPER.readTree(line);
      if (!node.path("identifier").isTextual() || !node.path("end").isTextual()) {
        throw new LoadException(LoadException.MALFORMED, "not an outcome: " + line);
      }
      return node;
    } catch (JsonProcessingException exception) {
      throw new LoadException(LoadException.MALFORMED, "not an outcome: " + line, exception);
    }
  }
}
