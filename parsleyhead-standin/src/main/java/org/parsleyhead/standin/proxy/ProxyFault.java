package org.parsleyhead.standin.proxy;

/**
 * A fault that a proxy injects into its connections.
 *
 * <p>Immutable and thread-safe.
 *
 * @param scope the connections that are affected
 * @param cut whether open connections are reset and new ones are refused, as far as they are in the
 *     scope
 * @param toTarget the fault in the direction from the caller to the target
 * @param toCaller the fault in the direction from the target to the caller
 */
public record ProxyFault(
    Scope scope, boolean cut, DirectionFault toTarget, DirectionFault toCaller) {

  /** No fault on any connection. */
  public static final ProxyFault NONE =
      forDirections(Scope.ALL, DirectionFault.NONE, DirectionFault.NONE);

  /** Resets all connections and refuses new ones. */
  public static final ProxyFault CUT =
      new ProxyFault(Scope.ALL, true, DirectionFault.NONE, DirectionFault.NONE);

  /**
   * Holds all bytes of the open connections until another fault is applied to them; new connections
   * work.
   */
  public static final ProxyFault HOLD_OPEN_CONNECTIONS =
      forDirections(Scope.OPEN, DirectionFault.hold(), DirectionFault.hold());

  /** The connections that a fault affects. */
  public enum Scope {
    /** The open connections and all later ones. */
    ALL,
    /** Only the connections that are open when the fault begins. */
    OPEN,
    /** Only connections that are opened after the fault begins. */
    NEW;

    boolean includesOpen() {
      return this != NEW;
    }

    boolean includesNew() {
      return this != OPEN;
    }
  }

  /** Returns a fault that cuts no connection, with a separate fault for each direction. */
  public static ProxyFault forDirections(
      Scope scope, DirectionFault toTarget, DirectionFault toCaller) {
    return new ProxyFault(scope, false, toTarget, toCaller);
  }
}
