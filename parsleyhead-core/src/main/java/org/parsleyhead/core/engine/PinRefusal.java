package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Refuses a pin on an adapter.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine on which the pin was requested
 * @param requester the incarnation of the requesting process
 * @param number the number of the pin request
 * @param adapter the requested adapter
 * @param reason the reason of the refusal
 * @param retryAfter the minimum delay before the next request to this owner
 */
public record PinRefusal(
    UpstreamName engine,
    Incarnation requester,
    long number,
    AdapterReference adapter,
    Reason reason,
    Duration retryAfter)
    implements PeerMessage {

  /** Validates the components. */
  public PinRefusal {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNull(requester, "requester");
    Preconditions.requireNonNegative(number, "number");
    Preconditions.requireNonNull(adapter, "adapter");
    Preconditions.requireNonNull(reason, "reason");
    Preconditions.requireNonNull(retryAfter, "retryAfter");
  }

  /** The reason of a refusal. */
  public enum Reason {
    /** The receiving host does not own the engine according to its host list. */
    NOT_OWNER,
    /** The receiving host does not hold the exclusive right that grants require. */
    OWNERSHIP_UNCERTAIN,
    /** The engine is leaving and accepts no new work. */
    LEAVING,
    /**
     * All slots hold adapters that are pinned or serving, or the adapter itself is being recalled
     * or is quarantined.
     */
    NO_SLOT,
    /** The last load of the adapter failed and its backoff has not elapsed. */
    LOAD_FAILED
  }
}
