package org.parsleyhead.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.ticket.UpstreamItem;

/**
 * The health of an upstream of a plain service as observed by this host.
 *
 * <p>Immutable and thread-safe. After its ejection has expired, an upstream is sent one probe at a
 * time; the first probe that receives a response restores it.
 *
 * @param item the upstream as declared
 * @param outstanding the number of outstanding attempts
 * @param attempts the number of recent attempts, exponentially decayed
 * @param failures the number of failures among them, decayed alike
 * @param updatedAt when the attempts and failures were last decayed
 * @param consecutiveFailures the number of failures since the last response
 * @param ejections the number of consecutive ejections
 * @param ejectedUntil the end of the current ejection; empty if the upstream is not ejected
 * @param probe the outstanding attempt that probes the upstream; empty if there is none
 */
record UpstreamHealth(
    UpstreamItem item,
    int outstanding,
    double attempts,
    double failures,
    MonotonicTime updatedAt,
    int consecutiveFailures,
    int ejections,
    Optional<MonotonicTime> ejectedUntil,
    Optional<RequestIdentifier> probe) {

  private static final int MAXIMUM_DOUBLINGS = 10;

  static UpstreamHealth unknown(UpstreamItem item, MonotonicTime time) {
    return new UpstreamHealth(item, 0, 0, 0, time, 0, 0, Optional.empty(), Optional.empty());
  }

  boolean isEjected() {
    return ejectedUntil.isPresent();
  }

  /** Returns whether a probe may be sent. */
  boolean isHalfOpen(MonotonicTime time) {
    return isEjected() && probe.isEmpty() && !time.isBefore(ejectedUntil.get());
  }

  UpstreamHealth withItem(UpstreamItem next) {
    return new UpstreamHealth(
        next,
        outstanding,
        attempts,
        failures,
        updatedAt,
        consecutiveFailures,
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
        updatedAt,
        consecutiveFailures,
        ejections,
        ejectedUntil,
        probing);
  }

  /** Returns the health after an attempt whose outcome does not concern the upstream. */
  UpstreamHealth abandoned(RequestIdentifier identifier) {
    return new UpstreamHealth(
        item,
        Math.max(0, outstanding - 1),
        attempts,
        failures,
        updatedAt,
        consecutiveFailures,
        ejections,
        ejectedUntil,
        probe.filter(probing -> !probing.equals(identifier)));
  }

  /** Returns the health after a response; the response to a probe ends the ejection. */
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
    boolean probeFailed = probe.equals(Optional.of(identifier));
    UpstreamHealth ended = abandoned(identifier).decayed(settings.sampleHalfLife(), time);
    UpstreamHealth counted =
        new UpstreamHealth(
            item,
            ended.outstanding,
            ended.attempts + 1,
            ended.failures + 1,
            time,
            consecutiveFailures + 1,
            ejections,
            ejectedUntil,
            ended.probe);
    return probeFailed || (!isEjected() && counted.isOutlier(settings))
        ? counted.ejected(settings, time)
        : counted;
  }

  private boolean isOutlier(RoutingSettings settings) {
    return consecutiveFailures >= settings.consecutiveFailures()
        || (attempts >= settings.minimumSampleSize()
            && failures / attempts > settings.maximumFailureRate());
  }

  private UpstreamHealth ejected(RoutingSettings settings, MonotonicTime time) {
    long doubled = settings.initialEjection().toMillis() << Math.min(ejections, MAXIMUM_DOUBLINGS);
    Duration duration = Duration.ofMillis(Math.min(doubled, settings.maximumEjection().toMillis()));
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
    double halfLives = (double) time.since(updatedAt).toNanos() / halfLife.toNanos();
    double weight = Math.pow(0.5, Math.max(0, halfLives));
    return new UpstreamHealth(
        item,
        outstanding,
        attempts * weight,
        failures * weight,
        time,
        consecutiveFailures,
        ejections,
        ejectedUntil,
        probe);
  }
}
