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
 * The load metrics that an engine reports in the Prometheus text format.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running the number of running requests
 * @param waiting the number of requests queued in the engine
 * @param active the adapters with running or waiting requests
 */
record EngineMetrics(int running, int waiting, Set<AdapterReference> active) {

  private static final Pattern ADAPTER_LABELS =
      Pattern.compile("(?:running|waiting)_lora_adapters=\"([^\"]*)\"");

  EngineMetrics {
    active = Set.copyOf(active);
  }

  /**
   * Parses the response of the metrics endpoint.
   *
   * @throws UpstreamException if a required metric is missing
   * @throws NumberFormatException if the value of a required metric is not a number
   */
  static EngineMetrics parse(String text) {
    int running = (int) metric(text, "vllm:num_requests_running");
    int waiting = (int) metric(text, "vllm:num_requests_waiting");
    Set<AdapterReference> active = new HashSet<>();
    text.lines()
        .filter(line -> line.startsWith("vllm:lora_requests_info"))
        .forEach(line -> addAdapters(line, active));
    return new EngineMetrics(running, waiting, active);
  }

  private static void addAdapters(String line, Set<AdapterReference> active) {
    Matcher matcher = ADAPTER_LABELS.matcher(line);
    while (matcher.find()) {
      for (String name : matcher.group(1).split(",")) {
        parseAdapter(name.strip()).ifPresent(active::add);
      }
    }
  }

  /** Parses a model name; returns empty if it names no adapter, as for the base model. */
  static Optional<AdapterReference> parseAdapter(String name) {
    try {
      return Optional.of(AdapterReference.parse(name));
    } catch (InvalidValueException exception) {
      return Optional.empty();
    }
  }

  private static double metric(String text, String name) {
    OptionalDouble value =
        text.lines()
            .filter(line -> line.startsWith(name + " ") || line.startsWith(name + "{"))
            .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
            .findFirst();
    return value.orElseThrow(() -> new UpstreamException("the engine does not report " + name));
  }
}
