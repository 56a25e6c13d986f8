package org.parsleyhead.standin.proxy;

/**
 * What a proxy does to its connections.
 *
 * <p>Immutable and thread-safe.
 *
 * @param scope which connections are meant
 * @param cut whether the connections are closed, and new ones refused if they are in the scope
 * @param toTarget the fault from the caller to the target
 * @param toCaller the fault from the target to the caller
 */
public record ProxyFault(
    Scope scope, boolean cut, DirectionFault toTarget, DirectionFault toCaller) {

  /** No fault on any connection. */
  public static final ProxyFault NONE =
      forDirections(Scope.ALL, DirectionFault.NONE, DirectionFault.NONE);

  /** Closes all connections and refuses new ones. */
  public static final ProxyFault CUT =
      new ProxyFault(Scope.ALL, true, DirectionFault.NONE, DirectionFault.NONE);

  /** Holds all bytes of the open connections for good, while new connections work. */
  public static final ProxyFault HOLD_OPEN_CONNECTIONS =
      forDirections(Scope.OPEN, DirectionFault.hold(), DirectionFault.hold());

  /** Which connections a fault concerns. */
  public enum Scope {
    /** The open connections and all that follow. */
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

  /** Returns a fault for each direction. */
  public static ProxyFault forDirections(
      Scope scope, DirectionFault toTarget, DirectionFault toCaller) {
    return new ProxyFault(scope, false, toTarget, toCaller);
  }
}
