package org.parsleyhead.runtime.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.parsleyhead.core.api.InvalidValueException;

/**
 * The validated arguments of one command.
 *
 * <p>Immutable and thread-safe. Required options and operands are present.
 *
 * @param operands the operands, as many as the command declares
 * @param options the given options
 */
public record CommandArguments(List<String> operands, List<GivenOption> options) {

  /** Copies the lists. */
  public CommandArguments {
    operands = List.copyOf(operands);
    options = List.copyOf(options);
  }

  /** Returns whether an option was given. */
  public boolean has(String name) {
    return options.stream().anyMatch(option -> option.name().equals(name));
  }

  /** Returns all values of an option. */
  public List<String> texts(String name) {
    return options.stream()
        .filter(option -> option.name().equals(name))
        .flatMap(option -> option.values().stream())
        .toList();
  }

  /** Returns the value of an option, if it was given. */
  public Optional<String> text(String name) {
    return texts(name).stream().findFirst();
  }

  /**
   * Returns the value of an option as a path, if it was given.
   *
   * @throws CommandException if the value is not a valid path
   */
  public Optional<Path> path(String name) {
    return text(name).map(text -> parse(name, text, Path::of));
  }

  /**
   * Returns the value of an option as a non-negative integer, if it was given.
   *
   * @throws CommandException if the value is not a non-negative integer of at most 18 digits
   */
  public OptionalLong number(String name) {
    Optional<String> text = text(name);
    if (text.isEmpty()) {
      return OptionalLong.empty();
    }
    if (!text.get().matches("[0-9]{1,18}")) {
      throw CommandException.usage(
          "--" + name + " must be a whole number, found \"" + text.get() + "\"");
    }
    return OptionalLong.of(Long.parseLong(text.get()));
  }

  /**
   * Returns all values of an option, each converted by a parser.
   *
   * @throws CommandException if the parser rejects a value
   */
  public <T> List<T> values(String name, Function<String, T> parser) {
    return texts(name).stream().map(text -> parse(name, text, parser)).toList();
  }

  private static <T> T parse(String name, String text, Function<String, T> parser) {
    try {
      return parser.apply(text);
    } catch (InvalidValueException | IllegalArgumentException exception) {
      throw CommandException.usage(
          "--" + name + ": " + exception.getMessage() + ", found \"" + text + "\"");
    }
  }

  /**
   * A given option with its values.
   *
   * @param name the long name
   * @param values the values; empty for a flag
   */
  public record GivenOption(String name, List<String> values) {

    /** Copies the values. */
    public GivenOption {
      values = List.copyOf(values);
    }
  }
}
