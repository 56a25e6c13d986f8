package org.parsleyhead.runtime.command;

import org.apache.commons.cli.Option;
import org.parsleyhead.core.api.Preconditions;

/**
 * One option of a command.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the long name, without dashes
 * @param valueName what the value is, in capitals; empty for a flag
 * @param occurrence how often the option is given
 * @param summary one line for the help text
 */
public record OptionDescription(
    String name, String valueName, Occurrence occurrence, String summary) {

  /** Checks the parts. */
  public OptionDescription {
    Preconditions.requireName(name, "name");
    Preconditions.requireNonNull(valueName, "valueName");
    Preconditions.requireNonNull(occurrence, "occurrence");
    Preconditions.requireNonNull(summary, "summary");
  }

  /** Returns an option without a value. */
  public static OptionDescription flag(String name, String summary) {
    return new OptionDescription(name, "", Occurrence.OPTIONAL, summary);
  }

  /** Returns an option that must be given with a value. */
  public static OptionDescription required(String name, String valueName, String summary) {
    return new OptionDescription(name, valueName, Occurrence.REQUIRED, summary);
  }

  /** Returns an option that may be given with a value. */
  public static OptionDescription optional(String name, String valueName, String summary) {
    return new OptionDescription(name, valueName, Occurrence.OPTIONAL, summary);
  }

  /** Returns an option that must be given with one value or several. */
  public static OptionDescription repeated(String name, String valueName, String summary) {
    return new OptionDescription(name, valueName, Occurrence.REPEATED, summary);
  }

  /** Returns the option with its dashes and value, as the help text shows it. */
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

  /** How often an option is given. */
  public enum Occurrence {
    /** Once or not at all. */
    OPTIONAL,
    /** Once. */
    REQUIRED,
    /** Once or more often, each time with one value or several. */
    REPEATED
  }
}
