package org.parsleyhead.standin.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Encodes the response to one completion request in the format of the OpenAI HTTP API.
 *
 * <p>Immutable and thread-safe. The reported usage covers the whole completion, including the
 * tokens before the position from which it was resumed.
 */
final class CompletionWriter {

  /** The event that terminates a stream. */
  static final String STREAM_TERMINATOR = "data: [DONE]\n\n";

  private static final String TOKEN_PLACEHOLDER = "TOKEN";

  private final String identifier;
  private final long createdSeconds;
  private final CompletionRequest request;
  private final TokenSequence tokens;
  private final String eventPrefix;
  private final String eventSuffix;

  CompletionWriter(String requestIdentifier, long createdSeconds, CompletionRequest request) {
    this.identifier = (request.chat() ? "chatcmpl-" : "cmpl-") + requestIdentifier;
    this.createdSeconds = createdSeconds;
    this.request = request;
    this.tokens = request.tokens();
    String template = event(tokenDocument(TOKEN_PLACEHOLDER, false));
    int placeholderIndex = template.lastIndexOf(TOKEN_PLACEHOLDER);
    this.eventPrefix = template.substring(0, placeholderIndex);
    this.eventSuffix = template.substring(placeholderIndex + TOKEN_PLACEHOLDER.length());
  }

  /** Returns the event with one token. */
  String tokenEvent(int number) {
    if (number == 0 && request.chat()) {
      return event(tokenDocument(tokens.text(0), true));
    }
    return eventPrefix + tokens.text(number) + eventSuffix;
  }

  private ObjectNode tokenDocument(String text, boolean role) {
    ObjectNode document = document(request.chat() ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = document.putArray("choices").addObject().put("index", 0);
    if (request.chat()) {
      ObjectNode delta = choice.putObject("delta");
      if (role) {
        delta.put("role", "assistant");
      }
      delta.put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.putNull("finish_reason");
    return document;
  }

  /** Returns the events that end a stream: the finish reason, the usage and the terminator. */
  String finalEvents(int length, boolean endsNaturally) {
    ObjectNode document = document(request.chat() ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = document.putArray("choices").addObject().put("index", 0);
    if (request.chat()) {
      choice.putObject("delta");
    } else {
      choice.put("text", "");
    }
    choice.put("finish_reason", endsNaturally ? "stop" : "length");
    if (!request.usageInSeparateChunk()) {
      putUsage(document, length);
      return event(document) + STREAM_TERMINATOR;
    }
    ObjectNode usage = document(document.get("object").textValue());
    usage.putArray("choices");
    putUsage(usage, length);
    return event(document) + event(usage) + STREAM_TERMINATOR;
  }

  /** Returns the complete body of a response that is not streamed. */
  ObjectNode completeResponse(int length, boolean endsNaturally) {
    ObjectNode document = document(request.chat() ? "chat.completion" : "text_completion");
    ObjectNode choice = document.putArray("choices").addObject().put("index", 0);
    String text = tokens.text(request.resumeFrom(), length);
    if (request.chat()) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", endsNaturally ? "stop" : "length");
    putUsage(document, length);
    return document;
  }

  private ObjectNode document(String object) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", identifier)
        .put("object", object)
        .put("created", createdSeconds)
        .put("model", request.model());
  }

  private void putUsage(ObjectNode document, int length) {
    document
        .putObject("usage")
        .put("prompt_tokens", request.promptTokens())
        .put("completion_tokens", length)
        .put("total_tokens", request.promptTokens() + length);
  }

  private static String event(ObjectNode document) {
    return "data: " + document + "\n\n";
  }
}
