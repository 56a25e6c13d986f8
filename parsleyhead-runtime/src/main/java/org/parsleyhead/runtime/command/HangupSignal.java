package org.parsleyhead.runtime.command;

import java.lang.reflect.Proxy;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Installs a handler for SIGHUP, which notifies a process that its settings may have changed.
 *
 * <p>Stateless and thread-safe. SIGHUP terminates a Java process unless a handler is installed. The
 * handler type is not part of the Java SE API, so it is accessed by reflection; if it is missing,
 * SIGHUP keeps its default action and a warning is logged.
 */
public final class HangupSignal {

  private static final EventLog LOG = new EventLog("process");
  private static final String SIGNAL_TYPE = "sun.misc.Signal";
  private static final String HANDLER_TYPE = "sun.misc.SignalHandler";
  private static final String SIGNAL_NAME = "HUP";

  private HangupSignal() {}

  /** Runs an action on a JVM thread each time the signal is received. */
  public static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName(SIGNAL_TYPE);
      Class<?> handler = Class.forName(HANDLER_TYPE);
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  action.run();
                }
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(SIGNAL_NAME), proxy);
    } catch (ReflectiveOperationException | IllegalArgumentException exception) {
      LOG.warning("hangup_not_handled", "reason", exception.getClass().getSimpleName());
    }
  }
}
