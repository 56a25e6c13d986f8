package org.parsleyhead.core.ticket;

import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * The declaration of an upstream: a model server or a plain service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the upstream name
 * @param endpoint the endpoint at which it listens
 * @param failureDomain the failure domain that it belongs to
 * @param engine the attributes of the model server; empty for a plain service
 * @param leaving whether it is leaving and receives no new work
 * @param supportsIdempotencyKeys whether it evaluates {@code Idempotency-Key} headers itself
 */
public record UpstreamItem(
    UpstreamName name,
    Endpoint endpoint,
    FailureDomainName failureDomain,
    Optional<Engine> engine,
    boolean leaving,
    boolean supportsIdempotencyKeys)
    implements Item {

  /** Validates the components. */
  public UpstreamItem {
    Preconditions.requireNonNull(name, "name");
    Preconditions.requireNonNull(endpoint, "endpoint");
    Preconditions.requireNonNull(failureDomain, "failure_domain");
    Preconditions.requireNonNull(engine, "engine");
  }

  /** Returns the item key of an upstream. */
  public static ItemKey keyOf(UpstreamName name) {
    return new ItemKey(ItemKind.UPSTREAM, name.text());
  }

  @Override
  public ItemKey key() {
    return keyOf(name);
  }

  /** Returns this upstream marked as leaving. */
  public UpstreamItem asLeaving() {
    return new UpstreamItem(name, endpoint, failureDomain, engine, true, supportsIdempotencyKeys);
  }

  /**
   * The attributes of a model server.
   *
   * @param baseModel the base model that it serves
   * @param adapterSlots the number of adapters that it can hold at a time
   * @param maximumBatch the maximum number of requests that it runs at a time
   * @param checksFencing whether it rejects orders with an outdated fencing number
   */
  public record Engine(
      ModelName baseModel, int adapterSlots, int maximumBatch, boolean checksFencing) {

    /** Validates the components. */
    public Engine {
      Preconditions.requireNonNull(baseModel, "base_model");
      Preconditions.requirePositive(adapterSlots, "adapter_slots");
      Preconditions.requirePositive(maximumBatch, "maximum_batch");
    }
  }
}
