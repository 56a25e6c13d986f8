package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Tells that an adapter gets no pin on an engine now.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param requester the run of the process that asked
 * @param number the number of the pin request
 * @param adapter the adapter
 * @param reason why
 * @param retryAfter when to ask this owner again at the earliest
 */
public record PinRefusal(
    UpstreamName engine,
    Incarnation requester,
    long number,
    AdapterReference adapter,
    Reason reason,
    Duration retryAfter)
    implements PeerMessage {

  /** Checks and copies the parts. */
  public PinRefusal {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNull(requester, "requester");
    Preconditions.requireNonNegative(number, "number");
    Preconditions.requireNonNull(adapter, "adapter");
    Preconditions.requireNonNull(reason, "reason");
    Preconditions.requireNonNull(retryAfter, "retryAfter");
  }

  /** Why a pin was refused. */
  public enum Reason {
    /** The asked host does not own the engine by its own host list. */
    NOT_OWNER,
    /** Ownership is not certain enough to grant anything. */
    IN_DOUBT,
    /** The engine takes no new work. */
    LEAVING,
    /** All slots hold adapters that are pinned or serving. */
    NO_SLOT,
    /** The last load of the adapter failed. */
    LOAD_FAILED
  }
}
