package org.parsleyhead.gateway.api;

import java.util.function.Consumer;
import org.parsleyhead.core.fleet.FleetEffect;
import org.parsleyhead.core.fleet.FleetEvent;
import org.parsleyhead.core.instance.Instance;

/**
 * Gives orders to model servers and asks for their state.
 *
 * <p>Implementations are thread-safe and never block; each call ends in exactly one event.
 */
public interface EngineControl {

  /** Sends an order. */
  void sendOrder(FleetEffect.SendOrder order, Consumer<FleetEvent> listener);

  /** Asks for the state of a server. */
  void requestReport(Instance instance, Consumer<FleetEvent> listener);
}
