package org.parsleyhead.runtime.command;

import org.apache.commons.cli.Option;
import org.parsleyhead.core.api.Preconditions;

/**
 * An option of a command.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the long name, without dashes
 * @param valueName the placeholder of the value, in capitals; empty for a flag
 * @param occurrence how often the option may or must be given
 * @param summary one line for the help text
 */
public record OptionDescription(
    String name, String valueName, Occurrence occurrence, String summary) {

  /** Requires a valid name and all other components. */
  public OptionDescription {
    Preconditions.requireName(name, "name");
    Preconditions.requireNonNull(valueName, "valueName");
    Preconditions.requireNonNull(occurrence, "occurrence");
    Preconditions.requireNonNull(summary, "summary");
  }

  /** Returns an optional option without a value. */
  public static OptionDescription flag(String name, String summary) {
    return new OptionDescription(name, "", Occurrence.OPTIONAL, summary);
  }

  /** Returns a mandatory option with a value. */
  public static OptionDescription required(String name, String valueName, String summary) {
    return new OptionDescription(name, valueName, Occurrence.REQUIRED, summary);
  }

  /** Returns an optional option with a value. */
  public static OptionDescription optional(String name, String valueName, String summary) {
    return new OptionDescription(name, valueName, Occurrence.OPTIONAL, summary);
  }

  /** Returns a mandatory option with one or more values. */
  public static OptionDescription repeated(String name, String valueName, String summary) {
    return new OptionDescription(name, valueName, Occurrence.REPEATED, summary);
  }

  /** Returns the option with its dashes and value placeholder for the help text. */
  String usage() {
    String value = valueName.isEmpty() ? "" : " " + valueName;
    return "--" + name + value + (occurrence == Occurrence.REPEATED ? "..." : "");
  }

  Option toOption() {
    Option.Builder builder = Option.builder().longOpt(name).desc(summary);
    if (occurrence == Occurrence.REPEATED) {
      builder.hasArgs();
    } else if (!valueName.isEmpty()) {
      builder.hasArg();
    }
    return builder.get();
  }

  /** How often an option may or must be given. */
  public enum Occurrence {
    /** At most once. */
    OPTIONAL,
    /** Exactly once. */
    REQUIRED,
    /** At least once, each time with one or more values. */
    REPEATED
  }
}
