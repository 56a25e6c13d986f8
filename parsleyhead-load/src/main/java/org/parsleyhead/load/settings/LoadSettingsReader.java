package org.parsleyhead.load.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.load.settings.LoadSettings.Account;
import org.parsleyhead.load.settings.LoadSettings.Adapters;
import org.parsleyhead.load.settings.LoadSettings.Kind;
import org.parsleyhead.load.settings.LoadSettings.Phase;
import org.parsleyhead.load.settings.LoadSettings.Range;
import org.parsleyhead.load.settings.LoadSettings.Repetition;
import org.parsleyhead.load.settings.LoadSettings.TargetChoice;
import org.parsleyhead.load.settings.LoadSettings.TrafficProfile;
import org.parsleyhead.runtime.settings.SettingsReader;

/**
 * Reads the settings of a load run.
 *
 * <p>Confined to one thread. All problems are collected and reported together.
 */
public final class LoadSettingsReader {

  private static final int MAXIMUM_PROMPT_CHARACTERS = 4_000_000;
  private static final int MAXIMUM_OUTPUT_TOKENS = 1_000_000;
  private static final Map<Kind, String> DEFAULT_PATHS =
      Map.of(Kind.CHAT, "/v1/chat/completions", Kind.COMPLETION, "/v1/completions", Kind.CALL, "/");

  private final SettingsReader reader;

  private LoadSettingsReader(SettingsReader reader) {
    this.reader = reader;
  }

  /**
   * Reads a TOML document.
   *
   * @throws org.parsleyhead.runtime.settings.SettingsException if it is malformed or invalid
   */
  public static LoadSettings read(String document) {
    return new LoadSettingsReader(SettingsReader.parse(document)).read();
  }

  private LoadSettings read() {
    Map<String, Account> accounts = new HashMap<>();
    reader.names("account").forEach(name -> accounts.put(name, account(name)));
    LoadSettings settings =
        new LoadSettings(
            reader.number("seed", 0, Long.MAX_VALUE, 1),
            reader.duration("duration", Duration.ofSeconds(10)),
            reader.duration("warm_up", Duration.ZERO),
            targets(),
            constant("target_choice", TargetChoice.values(), TargetChoice.EVEN),
            reader.duration("moving_interval", Duration.ofSeconds(5)),
            reader.duration("request_timeout", Duration.ofMinutes(1)),
            adapters(),
            accounts,
            reader.names("traffic").stream().map(name -> traffic(name, accounts)).toList(),
            reader.names("phase").stream().map(this::phase).toList());
    if (settings.trafficProfiles().isEmpty()) {
      reader.reject("traffic", "must contain at least one table");
    }
    reader.finish();
    return settings;
  }

  private List<Endpoint> targets() {
    List<Endpoint> targets = new ArrayList<>();
    for (String text : reader.texts("targets")) {
      try {
        targets.add(Endpoint.parse(text));
      } catch (InvalidValueException exception) {
        reader.reject("targets", exception.getMessage());
      }
    }
    if (targets.isEmpty()) {
      reader.reject("targets", "must list at least one address:port");
    }
    return targets;
  }

  private Adapters adapters() {
    return new Adapters(
        reader.text("adapters.prefix", "adapter-"),
        (int) reader.number("adapters.count", 1, 1_000_000, 100),
        (int) reader.number("adapters.version", 1, 1_000_000, 1),
        reader.fraction("adapters.zipf_exponent", 0, 10, 1.0));
  }

  private Account account(String name) {
    String table = "account." + name;
    return new Account(
        name,
        reader.text(table + ".key"),
        reader.number(table + ".tokens_per_second", 0, Long.MAX_VALUE, 0),
        reader.number(table + ".burst_tokens", 0, Long.MAX_VALUE, 0));
  }

  private TrafficProfile traffic(String name, Map<String, Account> accounts) {
    String table = "traffic." + name;
    String account = reader.text(table + ".account", "");
    if (!account.isEmpty() && !accounts.containsKey(account)) {
      reader.reject(table + ".account", "names an unknown account: " + account);
    }
    Kind kind = constant(table + ".kind", Kind.values(), Kind.CHAT);
    return new TrafficProfile(
        name,
        account,
        reader.text(table + ".class", "interactive"),
        kind,
        reader.text(table + ".method", "POST"),
        reader.text(table + ".path", DEFAULT_PATHS.get(kind)),
        reader.fraction(table + ".requests_per_second", 0, 1_000_000, 1),
        reader.flag(table + ".streamed", true),
        reader.text(table + ".model", ""),
        range(table + ".prompt_characters", 40, 400, MAXIMUM_PROMPT_CHARACTERS),
        (int) reader.number(table + ".shared_prefix_characters", 0, MAXIMUM_PROMPT_CHARACTERS, 0),
        range(table + ".output_tokens", 16, 64, MAXIMUM_OUTPUT_TOKENS),
        reader.flag(table + ".idempotent", false),
        reader.flag(table + ".idempotency_keys", true),
        reader.flag(table + ".refusal_expected", false),
        new Repetition(
            reader.fraction(table + ".repeat_probability", 0, 1, 0),
            reader.duration(table + ".repeat_delay", Duration.ZERO),
            (int) reader.number(table + ".retries", 0, 10, 0)));
  }

  private Range range(String path, int minimum, int maximum, int limit) {
    int low = (int) reader.number(path + "_minimum", 1, limit, minimum);
    int high = (int) reader.number(path + "_maximum", 1, limit, Math.max(low, maximum));
    if (low > high) {
      reader.reject(path + "_minimum", "must not exceed " + path + "_maximum");
    }
    return new Range(low, Math.max(low, high));
  }

  private Phase phase(String name) {
    String table = "phase." + name;
    return new Phase(
        name,
        reader.duration(table + ".start", Duration.ZERO),
        reader.duration(table + ".end", Duration.ofDays(1)),
        reader.text(table + ".traffic", ""),
        reader.text(table + ".account", ""),
        reader.fraction(table + ".rate_factor", 0, 1_000, 1),
        (int) reader.number(table + ".rank_shift", 0, 1_000_000, 0));
  }

  private <E extends Enum<E>> E constant(String path, E[] constants, E defaultValue) {
    String text = reader.text(path, defaultValue.name().toLowerCase(Locale.ROOT));
    for (E constant : constants) {
      if (constant.name().toLowerCase(Locale.ROOT).equals(text)) {
        return constant;
      }
    }
    reader.reject(path, "has an unknown value: " + text);
    return defaultValue;
  }
}
