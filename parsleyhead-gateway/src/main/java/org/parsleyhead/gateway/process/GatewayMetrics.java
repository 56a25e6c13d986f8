package org.parsleyhead.gateway.process;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.parsleyhead.core.dispatch.DispatchRefusal;
import org.parsleyhead.core.dispatch.ServiceCondition;
import org.parsleyhead.core.quarantine.Standing;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.metrics.MetricName;
import org.parsleyhead.runtime.metrics.Metrics;

/** The metrics of a gateway host. Thread-safe. */
final class GatewayMetrics {

  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private static final MetricName REQUEST_TIME = MetricName.of("parsleyhead_request_seconds");
  private static final MetricName REFUSALS = MetricName.of("parsleyhead_refusals_total");
  private static final MetricName SENDS = MetricName.of("parsleyhead_sends_total");
  private static final MetricName ABORTED_RESPONSES = MetricName.of("parsleyhead_broken_off_total");
  private static final MetricName FAILURES_DELIVERED =
      MetricName.of("parsleyhead_failures_delivered_total");
  private static final MetricName ORDERS = MetricName.of("parsleyhead_engine_orders_total");
  private static final MetricName READS = MetricName.of("parsleyhead_publication_reads_total");
  private static final MetricName DUTY_FAILURES = MetricName.of("parsleyhead_duty_failures_total");
  private static final MetricName STANDINGS = MetricName.of("parsleyhead_quarantine_changes_total");
  private static final MetricName ACTIVE = MetricName.of("parsleyhead_active_requests");
  private static final MetricName HOSTS = MetricName.of("parsleyhead_live_hosts");
  private static final MetricName CATALOGUE = MetricName.of("parsleyhead_catalogue_version");

  private static final MetricName STORE_ERA = MetricName.of("parsleyhead_store_era");
  private static final MetricName REVISION = MetricName.of("parsleyhead_publication_revision");
  private static final MetricName SILENCE =
      MetricName.of("parsleyhead_publication_silence_seconds");

  private static final MetricName EVACUATED = MetricName.of("parsleyhead_evacuated_domains");
  private static final MetricName COLD_SERVERS = MetricName.of("parsleyhead_cold_servers");
  private static final MetricName COLD_SENDS = MetricName.of("parsleyhead_cold_sends_total");

  private static final MetricName CONNECTIONS =
      MetricName.of("parsleyhead_upstream_connections_total");

  private static final MetricName WAITING = MetricName.of("parsleyhead_waiting_requests");
  private static final MetricName WAITING_AGE = MetricName.of("parsleyhead_waiting_age_seconds");
  private static final MetricName WAITS = MetricName.of("parsleyhead_wait_seconds");
  private static final MetricName EXPECTED_WAITS =
      MetricName.of("parsleyhead_expected_wait_seconds");

  /** Priorities of this value and above have one label, so that the labels are bounded. */
  private static final int LOWEST_PRIORITY = 2;

  private final Metrics metrics = new Metrics(new MetricRegistry());
  private volatile Runnable update = () -> {};

  /** Registers the gauges, whose values are read whenever the metrics are rendered. */
  void registerGauges(IntSupplier active, IntSupplier liveHosts, LongSupplier catalogueVersion) {
    metrics.gauge(ACTIVE, active::getAsInt);
    metrics.gauge(HOSTS, liveHosts::getAsInt);
    metrics.gauge(CATALOGUE, catalogueVersion::getAsLong);
  }

  /** Registers the gauges of the copy of the published items. */
  void registerPublicationGauges(
      LongSupplier era, LongSupplier revision, Supplier<Duration> silence) {
    metrics.gauge(STORE_ERA, era::getAsLong);
    metrics.gauge(REVISION, revision::getAsLong);
    metrics.gauge(SILENCE, () -> silence.get().toMillis() / MILLISECONDS_PER_SECOND);
  }

  /**
   * Registers the gauges of the servers that may not be used, or only in part.
   *
   * @param evacuated the number of evacuated failure domains
   * @param coldServers the number of servers that are cold
   * @param coldSends the number of requests that this host has sent to cold servers
   */
  void registerPlacementGauges(
      IntSupplier evacuated, LongSupplier coldServers, LongSupplier coldSends) {
    metrics.gauge(EVACUATED, evacuated::getAsInt);
    metrics.gauge(COLD_SERVERS, coldServers::getAsLong);
    metrics.gauge(COLD_SENDS, coldSends::getAsLong);
  }

  /**
   * Registers the number of the waiting requests and the age of the oldest one, by priority.
   *
   * @param ages returns the ages of the waiting requests whose priority matches
   */
  void registerWaiting(Function<IntPredicate, List<Duration>> ages) {
    for (int label = 0; label <= LOWEST_PRIORITY; label++) {
      int priority = label;
      IntPredicate matches = value -> Math.min(LOWEST_PRIORITY, value) == priority;
      metrics.gauge(
          WAITING.with("priority", Integer.toString(priority)), () -> ages.apply(matches).size());
      metrics.gauge(
          WAITING_AGE.with("priority", Integer.toString(priority)),
          () ->
              ages.apply(matches).stream().mapToLong(Duration::toMillis).max().orElse(0)
                  / MILLISECONDS_PER_SECOND);
    }
  }

  /** Registers the number of connections to instances that were opened so far. */
  void registerConnections(LongSupplier opened) {
    metrics.gauge(CONNECTIONS, opened::getAsLong);
  }

  /** Registers the load and the pace that servers report, by service. */
  void registerServerConditions(Supplier<Map<String, ServiceCondition>> conditions) {
    update = new ServerConditionGauges(metrics, conditions)::update;
  }

  void registerRing(Ring<?> ring) {
    metrics.registerRing(ring);
  }

  void requestFinished(Duration elapsed) {
    metrics.timer(REQUEST_TIME).update(elapsed);
  }

  void waitEnded(Duration waited, Duration expected) {
    metrics.timer(WAITS).update(waited);
    metrics.timer(EXPECTED_WAITS).update(expected);
  }

  void requestRefused(DispatchRefusal.Code code) {
    metrics.counter(REFUSALS.with("code", code.name())).inc();
  }

  void requestSent(int attempt) {
    metrics.counter(SENDS.with("repeated", Boolean.toString(attempt > 1))).inc();
  }

  void responseAborted() {
    metrics.counter(ABORTED_RESPONSES).inc();
  }

  void failureDelivered() {
    metrics.counter(FAILURES_DELIVERED).inc();
  }

  void engineRequestSent(String kind) {
    metrics.counter(ORDERS.with("kind", kind)).inc();
  }

  void publicationRead(String kind) {
    metrics.counter(READS.with("kind", kind)).inc();
  }

  void standingChanged(Standing standing) {
    metrics.counter(STANDINGS.with("standing", standing.name())).inc();
  }

  void dutyFailed(String duty) {
    metrics.counter(DUTY_FAILURES.with("duty", duty)).inc();
  }

  String render() {
    update.run();
    return metrics.render();
  }
}
