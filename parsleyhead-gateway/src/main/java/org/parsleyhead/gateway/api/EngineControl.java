package org.parsleyhead.gateway.api;

import java.util.function.Consumer;
import org.parsleyhead.core.fleet.FleetEffect;
import org.parsleyhead.core.fleet.FleetEvent;
import org.parsleyhead.core.instance.Instance;

/**
 * Sends orders and report requests to model servers.
 *
 * <p>Implementations are thread-safe and never block; each call leads to exactly one event.
 */
public interface EngineControl {

  /** Sends an order and passes the answer to the listener. */
  void sendOrder(FleetEffect.SendOrder order, Consumer<FleetEvent> listener);

  /** Requests a report of the state of a server and passes it to the listener. */
  void requestReport(Instance instance, Consumer<FleetEvent> listener);
}
