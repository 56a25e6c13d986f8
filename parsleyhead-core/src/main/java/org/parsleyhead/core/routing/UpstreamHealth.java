package org.parsleyhead.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.ticket.UpstreamItem;

/**
 * The health of one plain service as this host sees it.
 *
 * <p>Immutable and thread-safe. An ejected upstream gets one probe at a time once its ejection has
 * lasted; the first one that is answered restores it.
 *
 * @param item the upstream as declared
 * @param outstanding how many attempts run there
 * @param attempts the recent attempts, older ones weighing less
 * @param failures the failures among them, weighed alike
 * @param observed when these were last brought up to date
 * @param failuresInRow the failures since the last answer
 * @param ejections how many ejections have followed each other
 * @param ejectedUntil the end of the present ejection; empty if there is none
 * @param probe the attempt that probes it
 */
record UpstreamHealth(
    UpstreamItem item,
    int outstanding,
    double attempts,
    double failures,
    MonotonicTime observed,
    int failuresInRow,
    int ejections,
    Optional<MonotonicTime> ejectedUntil,
    Optional<RequestIdentifier> probe) {

  private static final int LARGEST_DOUBLINGS = 10;

  static UpstreamHealth unknown(UpstreamItem item, MonotonicTime time) {
    return new UpstreamHealth(item, 0, 0, 0, time, 0, 0, Optional.empty(), Optional.empty());
  }

  boolean isEjected() {
    return ejectedUntil.isPresent();
  }

  /** Tells whether a probe may be sent. */
  boolean isHalfOpen(MonotonicTime time) {
    return isEjected() && probe.isEmpty() && !time.isBefore(ejectedUntil.get());
  }

  UpstreamHealth withItem(UpstreamItem next) {
    return new UpstreamHealth(
        next,
        outstanding,
        attempts,
        failures,
        observed,
        failuresInRow,
        ejections,
        ejectedUntil,
        probe);
  }

  UpstreamHealth started(RequestIdentifier identifier) {
    Optional<RequestIdentifier> probing = isEjected() ? Optional.of(identifier) : probe;
    return new UpstreamHealth(
        item,
        outstanding + 1,
        attempts,
        failures,
        observed,
        failuresInRow,
        ejections,
        ejectedUntil,
        probing);
  }

  /** Returns the health after an attempt whose outcome tells nothing. */
  UpstreamHealth abandoned(RequestIdentifier identifier) {
    return new UpstreamHealth(
        item,
        Math.max(0, outstanding - 1),
        attempts,
        failures,
        observed,
        failuresInRow,
        ejections,
        ejectedUntil,
        probe.filter(probing -> !probing.equals(identifier)));
  }

  /** Returns the health after an answer; the answer to a probe ends the ejection. */
  UpstreamHealth answered(RequestIdentifier identifier, Duration halfLife, MonotonicTime time) {
    boolean restored = probe.equals(Optional.of(identifier));
    UpstreamHealth ended = abandoned(identifier).decayed(halfLife, time);
    return new UpstreamHealth(
        item,
        ended.outstanding,
        restored ? 1 : ended.attempts + 1,
        restored ? 0 : ended.failures,
        time,
        0,
        restored ? 0 : ejections,
        restored ? Optional.empty() : ejectedUntil,
        ended.probe);
  }

  /** Returns the health after a failure. */
  UpstreamHealth failed(
      RequestIdentifier identifier, RoutingSettings settings, MonotonicTime time) {
    boolean probed = probe.equals(Optional.of(identifier));
    UpstreamHealth ended = abandoned(identifier).decayed(settings.sampleHalfLife(), time);
    UpstreamHealth counted =
        new UpstreamHealth(
            item,
            ended.outstanding,
            ended.attempts + 1,
            ended.failures + 1,
            time,
            failuresInRow + 1,
            ejections,
            ejectedUntil,
            ended.probe);
    return probed || (!isEjected() && counted.isOutlier(settings))
        ? counted.ejected(settings, time)
        : counted;
  }

  private boolean isOutlier(RoutingSettings settings) {
    return failuresInRow >= settings.consecutiveFailures()
        || (attempts >= settings.smallestSample()
            && failures / attempts > settings.largestFailurePart());
  }

  private UpstreamHealth ejected(RoutingSettings settings, MonotonicTime time) {
    long doubled = settings.firstEjection().toMillis() << Math.min(ejections, LARGEST_DOUBLINGS);
    Duration duration = Duration.ofMillis(Math.min(doubled, settings.longestEjection().toMillis()));
    return new UpstreamHealth(
        item,
        outstanding,
        0,
        0,
        time,
        0,
        ejections + 1,
        Optional.of(time.plus(duration)),
        Optional.empty());
  }

  private UpstreamHealth decayed(Duration halfLife, MonotonicTime time) {
    double halfLives = (double) time.since(observed).toNanos() / halfLife.toNanos();
    double weight = Math.pow(0.5, Math.max(0, halfLives));
    return new UpstreamHealth(
        item,
        outstanding,
        attempts * weight,
        failures * weight,
        time,
        failuresInRow,
        ejections,
        ejectedUntil,
        probe);
  }
}
