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
import org.parsleyhead.load.settings.LoadSettings.Traffic;

/**
 * The requests of one traffic in the order of their times: a Poisson process whose rate follows the
 * phases.
 *
 * <p>Confined to one thread. Equal settings and run names give equal requests.
 */
final class TrafficStream {

  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final int FIRST_ATTEMPT = 1;
  private static final String FILLER =
      "the line stands still until the syrup is changed and the labels are checked again ";

  private final LoadSettings settings;
  private final Traffic traffic;
  private final String run;
  private final TargetSelector targets;
  private final ZipfDistribution popularity;
  private final SplittableRandom random;
  private final double highestRate;
  private Duration time = Duration.ZERO;
  private long number;

  TrafficStream(
      LoadSettings settings,
      Traffic traffic,
      String run,
      TargetSelector targets,
      ZipfDistribution popularity) {
    this.settings = settings;
    this.traffic = traffic;
    this.run = run;
    this.targets = targets;
    this.popularity = popularity;
    this.random = new SplittableRandom(settings.seed() * 31 + traffic.name().hashCode());
    this.highestRate = traffic.requestsPerSecond() * highestFactor();
  }

  /** Returns the next request; empty if the run is over. */
  Optional<PlannedRequest> next() {
    if (highestRate <= 0) {
      return Optional.empty();
    }
    while (true) {
      double seconds = -Math.log(1 - random.nextDouble()) / highestRate;
      time = time.plusNanos((long) (seconds * NANOSECONDS_PER_SECOND));
      if (time.compareTo(settings.duration()) >= 0) {
        return Optional.empty();
      }
      if (random.nextDouble() * highestRate < traffic.requestsPerSecond() * factor(time)) {
        return Optional.of(request());
      }
    }
  }

  private PlannedRequest request() {
    number++;
    String identifier = run + "-" + traffic.name() + "-" + number;
    String model = traffic.kind() == LoadSettings.Kind.CALL ? "" : model();
    Optional<String> key =
        Optional.ofNullable(settings.accounts().get(traffic.account())).map(Account::key);
    return new PlannedRequest(
        identifier,
        FIRST_ATTEMPT,
        time,
        traffic,
        key,
        targets.select(traffic, number, time),
        model,
        content(identifier, model),
        draw(traffic.outputTokens()));
  }

  private String model() {
    if (!traffic.model().isEmpty()) {
      return traffic.model();
    }
    int count = settings.adapters().count();
    int shift = phases().stream().mapToInt(Phase::rankShift).sum();
    int adapter = (popularity.rank(random.nextDouble()) + shift) % count;
    return settings.adapters().prefix() + adapter + "@" + settings.adapters().version();
  }

  private String content(String identifier, String model) {
    int length = draw(traffic.promptCharacters());
    StringBuilder content = new StringBuilder();
    if (traffic.sharedPrefixCharacters() > 0) {
      fill(content.append("context of ").append(model), traffic.sharedPrefixCharacters());
    }
    content.append(" request ").append(identifier).append(' ');
    fill(content, length);
    return content.toString();
  }

  private static void fill(StringBuilder content, int length) {
    while (content.length() < length) {
      content.append(FILLER, 0, Math.min(FILLER.length(), length - content.length()));
    }
  }

  private int draw(Range range) {
    double low = Math.log(range.minimum());
    double high = Math.log(range.maximum());
    long drawn = Math.round(Math.exp(low + random.nextDouble() * (high - low)));
    return (int) Math.max(range.minimum(), Math.min(range.maximum(), drawn));
  }

  private List<Phase> phases() {
    return settings.phases().stream().filter(phase -> phase.concerns(traffic, time)).toList();
  }

  private double factor(Duration at) {
    return settings.phases().stream()
        .filter(phase -> phase.concerns(traffic, at))
        .mapToDouble(Phase::rateFactor)
        .reduce(1, (first, second) -> first * second);
  }

  private double highestFactor() {
    return settings.phases().stream()
        .flatMap(phase -> Stream.of(phase.start(), phase.end()))
        .mapToDouble(this::factor)
        .reduce(1, Math::max);
  }
}
