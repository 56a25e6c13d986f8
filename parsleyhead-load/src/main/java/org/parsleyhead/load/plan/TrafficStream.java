package org.parsleyhead.load.plan;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.parsleyhead.load.settings.LoadSettings;
import org.parsleyhead.load.settings.LoadSettings.Account;
import org.parsleyhead.load.settings.LoadSettings.Phase;
import org.parsleyhead.load.settings.LoadSettings.Range;
import org.parsleyhead.load.settings.LoadSettings.TrafficProfile;

/**
 * The requests of one traffic profile in order of their scheduled times: a Poisson process whose
 * rate follows the phases of the run.
 *
 * <p>Confined to one thread. Equal settings and run names yield equal requests.
 */
final class TrafficStream {

  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final int FIRST_ATTEMPT = 1;
  private static final String PADDING =
      "the line stands still until the syrup is changed and the labels are checked again ";

  private final LoadSettings settings;
  private final TrafficProfile traffic;
  private final String run;
  private final TargetSelector targets;
  private final ZipfDistribution popularity;
  private final SplittableRandom random;
  private final double maximumRate;
  private Duration time = Duration.ZERO;
  private long sequenceNumber;

  TrafficStream(
      LoadSettings settings,
      TrafficProfile traffic,
      String run,
      TargetSelector targets,
      ZipfDistribution popularity) {
    this.settings = settings;
    this.traffic = traffic;
    this.run = run;
    this.targets = targets;
    this.popularity = popularity;
    this.random = new SplittableRandom(settings.seed() * 31 + traffic.name().hashCode());
    this.maximumRate = traffic.requestsPerSecond() * maximumRateFactor();
  }

  /** Returns the next request; empty after the end of the run. */
  Optional<PlannedRequest> next() {
    if (maximumRate <= 0) {
      return Optional.empty();
    }
    while (true) {
      double seconds = -Math.log(1 - random.nextDouble()) / maximumRate;
      time = time.plusNanos((long) (seconds * NANOSECONDS_PER_SECOND));
      if (time.compareTo(settings.duration()) >= 0) {
        return Optional.empty();
      }
      if (random.nextDouble() * maximumRate < traffic.requestsPerSecond() * rateFactor(time)) {
        return Optional.of(buildRequest());
      }
    }
  }

  private PlannedRequest buildRequest() {
    sequenceNumber++;
    String identifier = run + "-" + traffic.name() + "-" + sequenceNumber;
    String model = traffic.kind() == LoadSettings.Kind.CALL ? "" : chooseModel();
    Optional<String> key =
        Optional.ofNullable(settings.accounts().get(traffic.account())).map(Account::key);
    return new PlannedRequest(
        identifier,
        FIRST_ATTEMPT,
        time,
        traffic,
        key,
        targets.select(traffic, sequenceNumber, time),
        model,
        buildContent(identifier, model),
        sampleLogUniform(traffic.outputTokens()));
  }

  private String chooseModel() {
    if (!traffic.model().isEmpty()) {
      return traffic.model();
    }
    int count = settings.adapters().count();
    int shift = activePhases().stream().mapToInt(Phase::rankShift).sum();
    int adapter = (popularity.rank(random.nextDouble()) + shift) % count;
    return settings.adapters().prefix() + adapter + "@" + settings.adapters().version();
  }

  private String buildContent(String identifier, String model) {
    int length = sampleLogUniform(traffic.promptCharacters());
    StringBuilder content = new StringBuilder();
    if (traffic.sharedPrefixCharacters() > 0) {
      pad(content.append("context of ").append(model), traffic.sharedPrefixCharacters());
    }
    content.append(" request ").append(identifier).append(' ');
    pad(content, length);
    return content.toString();
  }

  private static void pad(StringBuilder content, int length) {
    while (content.length() < length) {
      content.append(PADDING, 0, Math.min(PADDING.length(), length - content.length()));
    }
  }

  private int sampleLogUniform(Range range) {
    double low = Math.log(range.minimum());
    double high = Math.log(range.maximum());
    long sampled = Math.round(Math.exp(low + random.nextDouble() * (high - low)));
    return (int) Math.max(range.minimum(), Math.min(range.maximum(), sampled));
  }

  private List<Phase> activePhases() {
    return settings.phases().stream().filter(phase -> phase.appliesTo(traffic, time)).toList();
  }

  private double rateFactor(Duration at) {
    return settings.phases().stream()
        .filter(phase -> phase.appliesTo(traffic, at))
        .mapToDouble(Phase::rateFactor)
        .reduce(1, (first, second) -> first * second);
  }

  private double maximumRateFactor() {
    return settings.phases().stream()
        .flatMap(phase -> Stream.of(phase.start(), phase.end()))
        .mapToDouble(this::rateFactor)
        .reduce(1, Math::max);
  }
}
