package org.parsleyhead.standin.settings;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.runtime.settings.SettingsException;
import org.parsleyhead.runtime.settings.SettingsReader;
import org.parsleyhead.standin.engine.EngineSettings;
import org.parsleyhead.standin.mesh.MeshHost;
import org.parsleyhead.standin.plain.PlainServiceSettings;
import org.parsleyhead.standin.platform.WeightStoreSettings;

/**
 * Reads and validates the settings of a stand-in process.
 *
 * <p>Confined to one thread. All problems are reported together.
 */
public final class StandinSettingsReader {

  private static final Endpoint PLACEHOLDER = new Endpoint("127.0.0.1", 1);
  private static final Set<String> RESERVED_NAMES = Set.of("configuration", "hosts", "weights");
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private final SettingsReader reader;
  private final Map<Endpoint, String> endpoints = new HashMap<>();

  private StandinSettingsReader(SettingsReader reader) {
    this.reader = reader;
  }

  /**
   * Reads the settings from a TOML document.
   *
   * @throws SettingsException if the document has any problem
   */
  public static StandinSettings read(String document) {
    return new StandinSettingsReader(SettingsReader.parse(document)).read();
  }

  private StandinSettings read() {
    rejectReservedNames();
    StandinSettings settings =
        new StandinSettings(
            endpoint("administration"),
            optionalEndpoint("configuration"),
            optionalEndpoint("hosts"),
            reader.duration("hosts.lag", Duration.ZERO),
            weights(),
            weightStore(),
            reader.names("engine").stream().map(this::engine).toList(),
            reader.names("service").stream().map(this::service).toList(),
            reader.names("proxy").stream().map(this::proxy).toList(),
            mesh(),
            Optional.of(reader.text("ledger.file", "")).filter(file -> !file.isEmpty()));
    reader.finish();
    return settings;
  }

  private void rejectReservedNames() {
    for (String table : List.of("engine", "service")) {
      reader.names(table).stream()
          .filter(name -> RESERVED_NAMES.contains(name) || name.contains("."))
          .forEach(name -> reader.reject(table + "." + name, "cannot have this name"));
    }
    reader.names("service").stream()
        .filter(reader.names("engine")::contains)
        .forEach(name -> reader.reject("service." + name, "is the name of an engine"));
  }

  private Endpoint endpoint(String table) {
    String path = table + ".endpoint";
    Endpoint endpoint = reader.value(path, Endpoint::parse, PLACEHOLDER);
    String previousPath = endpoints.putIfAbsent(endpoint, path);
    if (previousPath != null && !endpoint.equals(PLACEHOLDER)) {
      reader.reject(path, "must differ from " + previousPath);
    }
    return endpoint;
  }

  private Optional<Endpoint> optionalEndpoint(String table) {
    return reader.names(table).isEmpty() ? Optional.empty() : Optional.of(endpoint(table));
  }

  private Optional<StandinSettings.Weights> weights() {
    return optionalEndpoint("weights")
        .map(
            endpoint ->
                new StandinSettings.Weights(
                    endpoint,
                    new WeightStoreSettings(
                        reader.fraction("weights.loads_per_second", 0.01, 100_000, 4),
                        (int) reader.number("weights.burst", 1, 100_000, 4),
                        reader.duration("weights.transfer_time", Duration.ofMillis(250)),
                        (int) reader.number("weights.full_speed_transfers", 1, 100_000, 8))));
  }

  private Optional<Endpoint> weightStore() {
    if (!reader.names("weights").isEmpty()) {
      return Optional.of(reader.value("weights.endpoint", Endpoint::parse, PLACEHOLDER));
    }
    String text = reader.text("engines.weight_store", "");
    return text.isEmpty()
        ? Optional.empty()
        : Optional.of(reader.value("engines.weight_store", Endpoint::parse, PLACEHOLDER));
  }

  private StandinSettings.Engine engine(String name) {
    String table = "engine." + name;
    return new StandinSettings.Engine(name, endpoint(table), engineSettings(table));
  }

  private EngineSettings engineSettings(String table) {
    return new EngineSettings(
        reader.text("engines.base_model", "base"), limits(), timing(), faults(table));
  }

  private EngineSettings.Limits limits() {
    return new EngineSettings.Limits(
        (int) reader.number("engines.adapter_slots", 1, 100_000, 8),
        (int) reader.number("engines.maximum_batch", 1, 100_000, 32),
        (int) reader.number("engines.cache_tokens", 1, Integer.MAX_VALUE, 500_000),
        (int) reader.number("engines.prefix_blocks", 0, 10_000_000, 4_096));
  }

  private EngineSettings.Timing timing() {
    return new EngineSettings.Timing(
        milliseconds("engines.step_base_milliseconds", 12),
        milliseconds("engines.step_per_request_milliseconds", 0.25),
        milliseconds("engines.step_per_adapter_milliseconds", 0.5),
        milliseconds("engines.prefill_per_token_milliseconds", 0.05));
  }

  private Duration milliseconds(String path, double defaultValue) {
    double value = reader.fraction(path, 0, 60_000, defaultValue);
    return Duration.ofNanos((long) (value * NANOSECONDS_PER_MILLISECOND));
  }

  private EngineSettings.Faults faults(String table) {
    return new EngineSettings.Faults(
        reader.flag(table + ".checks_fencing", reader.flag("engines.checks_fencing", true)),
        reader.duration("engines.report_lag", Duration.ofMillis(500)),
        (int) reader.number("engines.cold_steps", 0, 1_000_000, 50),
        reader.fraction("engines.cold_factor", 1, 1_000, 4),
        reader.fraction("engines.load_failure_rate", 0, 1, 0),
        (int) reader.number("engines.natural_length", 0, 1_000_000, 0),
        reader.duration("engines.restart_time", Duration.ofSeconds(2)),
        reader.number("engines.seed", 0, Long.MAX_VALUE, 1) + table.hashCode());
  }

  private StandinSettings.Service service(String name) {
    String table = "service." + name;
    return new StandinSettings.Service(
        name,
        endpoint(table),
        new PlainServiceSettings(
            reader.duration(
                table + ".answer_time",
                reader.duration("services.answer_time", Duration.ofMillis(5))),
            reader.flag(table + ".idempotency_keys", false)));
  }

  private StandinSettings.Proxy proxy(String name) {
    String table = "proxy." + name;
    return new StandinSettings.Proxy(
        name,
        endpoint(table),
        reader.value(table + ".target", Endpoint::parse, PLACEHOLDER),
        milliseconds(table + ".delay_milliseconds", 0));
  }

  private Optional<StandinSettings.Mesh> mesh() {
    if (reader.names("mesh").isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new StandinSettings.Mesh(
            reader.names("mesh.host").stream()
                .map(name -> new MeshHost(new HostName(name), endpoint("mesh.host." + name)))
                .toList(),
            reader.value("mesh.first_proxy", Endpoint::parse, PLACEHOLDER),
            milliseconds("mesh.delay_milliseconds", 0)));
  }
}
