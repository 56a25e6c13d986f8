package org.parsleyhead.entry.upstream;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.InvalidValueException;

/**
 * The load figures of an engine in the Prometheus text form.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running how many requests it runs
 * @param waiting how many requests wait in it
 * @param active the adapters with running or waiting requests
 */
record EngineFigures(int running, int waiting, Set<AdapterReference> active) {

  private static final Pattern ADAPTERS =
      Pattern.compile("(?:running|waiting)_lora_adapters=\"([^\"]*)\"");

  EngineFigures {
    active = Set.copyOf(active);
  }

  /**
   * Parses the figures.
   *
   * @throws UpstreamException if a figure is missing
   */
  static EngineFigures parse(String text) {
    int running = (int) figure(text, "vllm:num_requests_running");
    int waiting = (int) figure(text, "vllm:num_requests_waiting");
    Set<AdapterReference> active = new HashSet<>();
    text.lines()
        .filter(line -> line.startsWith("vllm:lora_requests_info"))
        .forEach(line -> addAdapters(line, active));
    return new EngineFigures(running, waiting, active);
  }

  private static void addAdapters(String line, Set<AdapterReference> active) {
    Matcher matcher = ADAPTERS.matcher(line);
    while (matcher.find()) {
      for (String name : matcher.group(1).split(",")) {
        reference(name.strip()).ifPresent(active::add);
      }
    }
  }

  /** Returns the adapter and version of a name; empty for the base model. */
  static Optional<AdapterReference> reference(String name) {
    try {
      return Optional.of(AdapterReference.parse(name));
    } catch (InvalidValueException exception) {
      return Optional.empty();
    }
  }

  private static double figure(String text, String name) {
    OptionalDouble value =
        text.lines()
            .filter(line -> line.startsWith(name + " ") || line.startsWith(name + "{"))
            .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
            .findFirst();
    return value.orElseThrow(() -> new UpstreamException("the engine does not report " + name));
  }
}
