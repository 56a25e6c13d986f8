package org.parsleyhead.codec.openai;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * What one server-sent event of a completion stream says.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind what the event is
 * @param model the model that generated it, if the event names one
 * @param totalTokens the tokens of prompt and answer, zero unless the event reports the usage
 */
public record StreamChunk(Kind kind, Optional<String> model, long totalTokens) {

  /** Checks the parts. */
  public StreamChunk {
    Preconditions.requireNonNull(kind, "kind");
    Preconditions.requireNonNull(model, "model");
  }

  /** The kinds of events. */
  public enum Kind {
    /** It carries generated text. */
    CONTENT,
    /** It opens the answer and carries no text. */
    OPENING,
    /** It gives the reason for the end and carries no text. */
    FINISH,
    /** It reports the usage and carries no text. */
    USAGE,
    /** It ends the stream. */
    DONE,
    /** It reports an error of the engine. */
    ERROR,
    /** It is a comment or something else that carries no text. */
    OTHER
  }
}
