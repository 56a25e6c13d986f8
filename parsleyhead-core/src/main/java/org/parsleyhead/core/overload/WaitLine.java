package org.parsleyhead.core.overload;

/**
 * Names the requests that wait for the same capacity.
 *
 * <p>Immutable and thread-safe.
 *
 * @param capacity the kind of capacity that they wait for
 * @param service the service that has it
 */
public record WaitLine(Capacity capacity, String service) {

  /** The kinds of capacity that requests wait for. Immutable and thread-safe. */
  public enum Capacity {
    /** A retry in the budget of the service. */
    RETRY,
    /** A free adapter slot at a model server. */
    ADAPTER_SLOT,
    /** A server that accepts requests again. */
    SERVER
  }
}
