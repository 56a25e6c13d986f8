package org.parsleyhead.core.ticket;

import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * An upstream: a model server or a plain service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name
 * @param endpoint where it listens
 * @param failureDomain the failure domain it stands in
 * @param engine what is known of it if it is a model server
 * @param leaving whether it gets no new work
 * @param idempotencyKeys whether it recognizes an {@code Idempotency-Key} itself
 */
public record UpstreamItem(
    UpstreamName name,
    Endpoint endpoint,
    FailureDomainName failureDomain,
    Optional<Engine> engine,
    boolean leaving,
    boolean idempotencyKeys)
    implements Item {

  /** Checks the parts. */
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

  /** Returns this upstream, leaving. */
  public UpstreamItem asLeaving() {
    return new UpstreamItem(name, endpoint, failureDomain, engine, true, idempotencyKeys);
  }

  /**
   * A model server.
   *
   * @param baseModel the base model it serves
   * @param adapterSlots how many adapters it holds at a time
   * @param maximumBatch how many requests it runs at a time
   * @param checksFencing whether it refuses an order that carries an old fencing number
   */
  public record Engine(
      ModelName baseModel, int adapterSlots, int maximumBatch, boolean checksFencing) {

    /** Checks the parts. */
    public Engine {
      Preconditions.requireNonNull(baseModel, "base_model");
      Preconditions.requirePositive(adapterSlots, "adapter_slots");
      Preconditions.requirePositive(maximumBatch, "maximum_batch");
    }
  }
}
