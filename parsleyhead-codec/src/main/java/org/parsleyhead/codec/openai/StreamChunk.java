package org.parsleyhead.codec.openai;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * The kind, model and usage of one server-sent event of a completion stream.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind of the event
 * @param model the model that generated the event; empty if it names none
 * @param totalTokens the number of prompt and generated tokens; zero unless the event reports the
 *     token usage
 */
public record StreamChunk(Kind kind, Optional<String> model, long totalTokens) {

  /** Validates the components. */
  public StreamChunk {
    Preconditions.requireNonNull(kind, "kind");
    Preconditions.requireNonNull(model, "model");
  }

  /** The kind of an event. */
  public enum Kind {
    /** Contains generated text or tool calls. */
    CONTENT,
    /** Starts the response and contains no text. */
    OPENING,
    /** Reports the finish reason and contains no text. */
    FINISH,
    /** Reports the token usage and contains no text. */
    USAGE,
    /** Ends the stream. */
    DONE,
    /** Reports an error of the engine. */
    ERROR,
    /** Is a comment or another event that contains no text. */
    OTHER
  }
}
