package org.parsleyhead.entry.process;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.idempotency.RepeatSettings;
import org.parsleyhead.core.request.RequestSettings;
import org.parsleyhead.core.scheduling.SchedulingPolicy;
import org.parsleyhead.entry.callers.CallerSettings;
import org.parsleyhead.entry.upstream.UpstreamSettings;
import org.parsleyhead.runtime.settings.SettingsReader;

/**
 * Reads the settings of an entry host from TOML.
 *
 * <p>Stateless and thread-safe.
 */
public final class EntrySettingsReader {

  private static final Endpoint FALLBACK_ENDPOINT = new Endpoint("0.0.0.0", 1);
  private static final HostName FALLBACK_HOST = new HostName("invalid");
  private static final FailureDomainName FALLBACK_DOMAIN = new FailureDomainName("invalid");
  private static final Duration MINIMUM_ATTESTATION_DURATION = Duration.ofSeconds(3);
  private static final List<String> POLICIES =
      List.of(
          SchedulingPolicy.ADAPTIVE,
          SchedulingPolicy.FIRST_COME_FIRST_SERVED,
          SchedulingPolicy.LEAST_OUTSTANDING,
          SchedulingPolicy.CONSISTENT_HASHING);

  private EntrySettingsReader() {}

  /**
   * Reads and validates the settings.
   *
   * @throws org.parsleyhead.runtime.settings.SettingsException listing all problems at once
   */
  public static EntrySettings read(SettingsReader reader) {
    EntrySettings settings =
        new EntrySettings(
            reader.value("host.name", HostName::new, FALLBACK_HOST),
            reader.value("host.failure_domain", FailureDomainName::new, FALLBACK_DOMAIN),
            readCallers(reader),
            endpoint(reader, "peers.endpoint"),
            endpoint(reader, "administration.endpoint"),
            service(reader, "platform.configuration_endpoint"),
            service(reader, "platform.host_list_endpoint"),
            readUpstreams(reader),
            readRequests(reader),
            readRepeats(reader),
            readTokens(reader),
            readWeightStore(reader),
            reader.duration("rights.attestation_duration", Duration.ofSeconds(5)),
            readPolicy(reader),
            reader.flag("limits.lending", true),
            (int) reader.number("host.worker_threads", 1, 64, 4),
            reader.duration("host.stop_timeout", Duration.ofMinutes(5)));
    if (settings.repeats().window().compareTo(RequestSettings.REPEAT_CHECK_VALIDITY) <= 0) {
      reader.reject(
          "repeats.window", "must be longer than " + RequestSettings.REPEAT_CHECK_VALIDITY);
    }
    if (settings.attestationDuration().compareTo(MINIMUM_ATTESTATION_DURATION) < 0) {
      reader.reject(
          "rights.attestation_duration", "must be at least " + MINIMUM_ATTESTATION_DURATION);
    }
    reader.finish();
    return settings;
  }

  private static CallerSettings readCallers(SettingsReader reader) {
    return new CallerSettings(
        endpoint(reader, "callers.endpoint"),
        bytes(reader, "callers.maximum_header_size", 32 << 10),
        bytes(reader, "callers.maximum_body_size", 4 << 20),
        reader.duration("callers.receive_timeout", Duration.ofSeconds(10)),
        reader.duration("callers.idle_timeout", Duration.ofMinutes(2)),
        bytes(reader, "callers.maximum_pending_size", 4 << 20));
  }

  private static UpstreamSettings readUpstreams(SettingsReader reader) {
    return new UpstreamSettings(
        reader.duration("upstreams.connect_timeout", Duration.ofSeconds(1)),
        reader.duration("upstreams.progress_timeout", Duration.ofSeconds(5)),
        reader.duration("upstreams.answer_timeout", Duration.ofMinutes(2)));
  }

  private static RequestSettings readRequests(SettingsReader reader) {
    RequestSettings defaults = RequestSettings.DEFAULTS;
    return new RequestSettings(
        (int)
            reader.number("requests.maximum_active", 1, 1 << 20, defaults.maximumActiveRequests()),
        (int) reader.number("requests.maximum_attempts", 1, 100, defaults.maximumAttempts()),
        reader.number("limits.plain_call_tokens", 0, 1 << 20, defaults.plainCallTokens()),
        reader.fraction("requests.retry_ratio", 0, 1, defaults.retryRatio()),
        reader.fraction("requests.maximum_retry_credit", 0, 1e6, defaults.maximumRetryCredit()),
        reader.duration("requests.decision_timeout", defaults.decisionTimeout()));
  }

  private static RepeatSettings readRepeats(SettingsReader reader) {
    RepeatSettings defaults = RepeatSettings.DEFAULTS;
    return new RepeatSettings(
        reader.duration("repeats.window", defaults.window()),
        reader.duration("repeats.resend_interval", defaults.resendInterval()),
        reader.duration("repeats.timeout", defaults.timeout()),
        (int) reader.number("repeats.maximum_records", 1, 1 << 24, defaults.maximumRecords()));
  }

  private static EntrySettings.TokenEstimate readTokens(SettingsReader reader) {
    return new EntrySettings.TokenEstimate(
        (int) reader.number("limits.bytes_per_prompt_token", 1, 100, 3),
        (int) reader.number("limits.default_maximum_tokens", 1, 1 << 20, 512));
  }

  private static EntrySettings.WeightStoreLimits readWeightStore(SettingsReader reader) {
    return new EntrySettings.WeightStoreLimits(
        reader.fraction("weight_store.loads_per_second", 0.01, 1e6, 4),
        (int) reader.number("weight_store.maximum_transfers", 1, 1 << 20, 8));
  }

  private static String readPolicy(SettingsReader reader) {
    String policy = reader.text("scheduling.policy", SchedulingPolicy.ADAPTIVE);
    if (!POLICIES.contains(policy)) {
      reader.reject("scheduling.policy", "must be one of " + POLICIES);
    }
    return policy;
  }

  private static Endpoint endpoint(SettingsReader reader, String path) {
    return reader.value(path, Endpoint::parse, FALLBACK_ENDPOINT);
  }

  private static URI service(SettingsReader reader, String path) {
    return URI.create("http://" + endpoint(reader, path));
  }

  private static int bytes(SettingsReader reader, String path, int defaultValue) {
    long value = reader.bytes(path, defaultValue);
    if (value < 1 || value > 1 << 30) {
      reader.reject(path, "must be between 1 B and 1 GiB");
      return defaultValue;
    }
    return (int) value;
  }
}
