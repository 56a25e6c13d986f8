package org.parsleyhead.core.instance;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.Preconditions;

/**
 * A run of the process of an upstream.
 *
 * <p>Immutable and thread-safe. A restarted instance retains no state of its previous run, even if
 * it keeps its identifier.
 *
 * @param identifier the assigned identifier; may be the same across restarts
 * @param startedAtMilliseconds the start time by its own wall clock, in milliseconds since 1970
 * @param service the service that it belongs to
 * @param endpoint the endpoint at which it accepts requests
 * @param failureDomain the failure domain in which it runs
 * @param slots the maximum number of concurrent requests
 * @param draining whether it is about to stop and must not receive new requests
 * @param models the base models that were loaded at the time of the announcement
 * @param adapters the versions of the adapters that were loaded at that time
 * @param announcementNumber the number of the announcement; increases within one run
 * @param coldFor how long it stays cold from the announcement on; zero if it is not cold
 */
public record Instance(
    String identifier,
    long startedAtMilliseconds,
    String service,
    Endpoint endpoint,
    FailureDomainName failureDomain,
    int slots,
    boolean draining,
    Set<String> models,
    Map<AdapterKey, Long> adapters,
    long announcementNumber,
    Duration coldFor) {

  /** Validates the components and copies the collections. */
  public Instance {
    Preconditions.requireName(identifier, "identifier");
    Preconditions.requireName(service, "service");
    Preconditions.requireNonNull(endpoint, "endpoint");
    Preconditions.requireNonNull(failureDomain, "failureDomain");
    Preconditions.requirePositive(slots, "slots");
    models = Set.copyOf(models);
    adapters = Map.copyOf(adapters);
    Preconditions.require(!coldFor.isNegative(), "coldFor", "must not be negative");
  }

  /** Creates an instance that is not cold. */
  public Instance(
      String identifier,
      long startedAtMilliseconds,
      String service,
      Endpoint endpoint,
      FailureDomainName failureDomain,
      int slots,
      boolean draining,
      Set<String> models,
      Map<AdapterKey, Long> adapters,
      long announcementNumber) {
    this(
        identifier,
        startedAtMilliseconds,
        service,
        endpoint,
        failureDomain,
        slots,
        draining,
        models,
        adapters,
        announcementNumber,
        Duration.ZERO);
  }

  /** Returns whether another announcement is from the same run of the process. */
  public boolean sameRun(Instance other) {
    return identifier.equals(other.identifier)
        && startedAtMilliseconds == other.startedAtMilliseconds
        && endpoint.equals(other.endpoint);
  }

  /** Returns this instance with the draining flag set. */
  public Instance asDraining() {
    return new Instance(
        identifier,
        startedAtMilliseconds,
        service,
        endpoint,
        failureDomain,
        slots,
        true,
        models,
        adapters,
        announcementNumber,
        coldFor);
  }
}
