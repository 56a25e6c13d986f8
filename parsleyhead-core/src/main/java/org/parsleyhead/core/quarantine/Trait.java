package org.parsleyhead.core.quarantine;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * Something that a request carries and that other requests may carry too.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind what it is
 * @param identity a number that is the same for equal traits of a kind, on all hosts
 */
public record Trait(Kind kind, long identity) {

  /** Validates the components. */
  public Trait {
    Preconditions.requireNonNull(kind, "kind");
  }

  /** Returns the trait with a name; empty if it is not the name of one. */
  public static Optional<Trait> named(String name) {
    for (Kind kind : Kind.values()) {
      String prefix = kind.label() + "-";
      if (name.startsWith(prefix)) {
        try {
          return Optional.of(
              new Trait(kind, Long.parseUnsignedLong(name.substring(prefix.length()), 16)));
        } catch (NumberFormatException exception) {
          return Optional.empty();
        }
      }
    }
    return Optional.empty();
  }

  /** Returns the name of the trait for logs and operators. */
  public String name() {
    return kind.label() + "-" + Long.toHexString(identity);
  }

  /** The kinds of traits. Immutable and thread-safe. */
  public enum Kind {
    /** A part of a prompt. */
    PROMPT_PART("part"),
    /** An adapter of a model. */
    ADAPTER("adapter");

    private final String label;

    Kind(String label) {
      this.label = label;
    }

    /** Returns the label that names the kind in logs. */
    public String label() {
      return label;
    }
  }
}
