package org.parsleyhead.gateway.process;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.runtime.settings.SettingsReader;

/** Reads and validates the settings of a gateway host. Stateless and thread-safe. */
public final class GatewaySettingsReader {

  private static final Endpoint MISSING_ENDPOINT = new Endpoint("0.0.0.0", 1);

  /** As stated in the data sheets of the deployments. */
  private static final Duration DEFAULT_GRACE = Duration.ofSeconds(8);

  private static final Duration MINIMUM_GRACE = Duration.ofSeconds(1);
  private static final Duration MAXIMUM_GRACE = Duration.ofMinutes(30);
  private static final Duration MINIMUM_STOP_TIME = Duration.ofMillis(500);

  /** The part of a short grace that remains for the end of the process. */
  private static final int EXIT_TIME_DIVISOR = 8;

  /** Enough for the end of the process on a busy machine. */
  private static final Duration MAXIMUM_EXIT_TIME = Duration.ofSeconds(1);

  /** Less than the time after which removed instances must not receive requests. */
  private static final Duration DEFAULT_REMOVAL_GRACE = Duration.ofMillis(1_500);

  /** The gap that servers without fencing need between the orders of two hosts. */
  private static final Duration DEFAULT_LEASE_GAP = Duration.ofMillis(3_300);

  private static final String REGIONS = "regions.domains";
  private static final int PERCENT_PER_CORE = 100;
  private static final double DEFAULT_RETRY_RATIO = 0.2;
  private static final double DEFAULT_RETRY_BURST = 52;
  private static final Duration DEFAULT_RETRY_WINDOW = Duration.ofSeconds(10);

  /** The fraction of the granted tolerance that is used; the rest covers the lag between hosts. */
  private static final double TOLERANCE_FRACTION = 0.6;

  /** The fraction of the granted slack that is used; the rest covers the lag between hosts. */
  private static final double SLACK_FRACTION = 0.35;

  /** As stated in the data sheets of the deployments. */
  private static final double DEFAULT_PREFILL_TOKENS_PER_MILLISECOND = 38;

  /** As stated in the data sheets of the deployments. */
  private static final Duration DEFAULT_COLD_LOAD_DURATION = Duration.ofMillis(250);

  /** A tenth of the cold load duration. */
  private static final Duration DEFAULT_WARM_LOAD_DURATION = Duration.ofMillis(25);

  private GatewaySettingsReader() {}

  /**
   * Reads the settings.
   *
   * @throws org.parsleyhead.runtime.settings.SettingsException if any setting is missing or invalid
   */
  public static GatewaySettings read(SettingsReader reader) {
    GatewaySettings settings =
        new GatewaySettings(
            reader.value("host.name", HostName::new, new HostName("unknown")),
            reader.value(
                "host.failure_domain", FailureDomainName::new, new FailureDomainName("unknown")),
            endpoint(reader, "callers.endpoint"),
            endpoint(reader, "readiness.endpoint"),
            endpoint(reader, "peers.endpoint"),
            reader.text("metrics.endpoint", "").isEmpty()
                ? Optional.empty()
                : Optional.of(endpoint(reader, "metrics.endpoint")),
            seeds(reader),
            reader.flag("peers.first_start", false),
            (int) (PERCENT_PER_CORE * reader.fraction("host.processor_share", 0, 1_000, 1)),
            endpoint(reader, "publication.endpoint"),
            stopTime(reader),
            reader.duration("upstreams.removal_grace", DEFAULT_REMOVAL_GRACE),
            reader.duration("engines.lease_gap", DEFAULT_LEASE_GAP),
            reader.fraction("retries.ratio", 0, 10, DEFAULT_RETRY_RATIO),
            reader.fraction("retries.burst", 0, 1_000_000, DEFAULT_RETRY_BURST),
            reader.duration("retries.window", DEFAULT_RETRY_WINDOW),
            TOLERANCE_FRACTION * reader.fraction("allowances.tolerance", 0, 1, 0),
            SLACK_FRACTION * reader.fraction("allowances.slack", 0, 1e12, 0),
            reader.fraction(
                "engines.prefill_tokens_per_millisecond",
                0.001,
                100_000,
                DEFAULT_PREFILL_TOKENS_PER_MILLISECOND),
            reader.duration("engines.cold_adapter_load", DEFAULT_COLD_LOAD_DURATION),
            reader.duration("engines.warm_adapter_load", DEFAULT_WARM_LOAD_DURATION),
            regions(reader));
    if (settings.callersEndpoint().equals(settings.peersEndpoint())) {
      reader.reject("peers.endpoint", "must differ from callers.endpoint");
    }
    reader.finish();
    return settings;
  }

  /** Returns the time for a planned stop, which ends before the platform kills the process. */
  private static Duration stopTime(SettingsReader reader) {
    Duration grace = duration(reader, "process.grace", MINIMUM_GRACE, MAXIMUM_GRACE, DEFAULT_GRACE);
    Duration part = grace.dividedBy(EXIT_TIME_DIVISOR);
    Duration exitTime = part.compareTo(MAXIMUM_EXIT_TIME) < 0 ? part : MAXIMUM_EXIT_TIME;
    return duration(
        reader, "process.stop_time", MINIMUM_STOP_TIME, MAXIMUM_GRACE, grace.minus(exitTime));
  }

  private static Duration duration(
      SettingsReader reader, String path, Duration minimum, Duration maximum, Duration fallback) {
    Duration duration = reader.duration(path, fallback);
    if (duration.compareTo(minimum) < 0 || duration.compareTo(maximum) > 0) {
      reader.reject(
          path, "must be between " + minimum.toMillis() + " ms and " + maximum.toMillis() + " ms");
      return fallback;
    }
    return duration;
  }

  private static Endpoint endpoint(SettingsReader reader, String path) {
    return reader.value(path, Endpoint::parse, MISSING_ENDPOINT);
  }

  /** Returns the regions of the failure domains, each set as {@code DOMAIN=REGION}. */
  private static Map<FailureDomainName, RegionName> regions(SettingsReader reader) {
    Map<FailureDomainName, RegionName> regions = new HashMap<>();
    for (String entry : reader.texts(REGIONS)) {
      int separator = entry.indexOf('=');
      try {
        FailureDomainName domain =
            new FailureDomainName(entry.substring(0, Math.max(0, separator)));
        RegionName region = new RegionName(entry.substring(separator + 1));
        RegionName former = regions.putIfAbsent(domain, region);
        if (former != null && !former.equals(region)) {
          reader.reject(REGIONS, "must not assign " + domain + " to two regions");
        }
      } catch (InvalidValueException exception) {
        reader.reject(REGIONS, "must hold texts of the form DOMAIN=REGION: " + entry);
      }
    }
    return regions;
  }

  private static List<String> seeds(SettingsReader reader) {
    List<String> seeds = reader.texts("peers.seeds");
    for (String seed : seeds) {
      try {
        Endpoint.parse(seed);
      } catch (InvalidValueException exception) {
        reader.reject("peers.seeds", exception.getMessage());
      }
    }
    return seeds;
  }
}
