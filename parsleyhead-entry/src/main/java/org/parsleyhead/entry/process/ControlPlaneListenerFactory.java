package org.parsleyhead.entry.process;

import java.util.function.Consumer;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.core.engine.EngineEvent;
import org.parsleyhead.core.idempotency.RepeatEvent;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.quota.QuotaEvent;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.entry.configuration.ControlPlaneListener;

/**
 * Creates the listener that forwards notifications of the control plane to the duties.
 *
 * <p>Stateless and thread-safe.
 */
final class ControlPlaneListenerFactory {

  private ControlPlaneListenerFactory() {}

  /**
   * Creates the listener.
   *
   * @param rings the rings of the duties
   * @param barrier records each rights snapshot before it is distributed
   * @param catalogues distributes catalogues and host lists
   * @param released runs when no exclusive right is in use any longer
   * @param messages receives the messages of other hosts
   */
  static ControlPlaneListener create(
      Rings rings,
      RightsBarrier barrier,
      CatalogueDistribution catalogues,
      Runnable released,
      Consumer<Envelope> messages) {
    return new ControlPlaneListener(
        (rightsSnapshot, applied) ->
            distribute(rings, rightsSnapshot, barrier.issue(rightsSnapshot, applied)),
        catalogues::hostListChanged,
        catalogues::catalogueChanged,
        () -> {},
        released,
        messages);
  }

  private static void distribute(Rings rings, RightsSnapshot rightsSnapshot, long sequence) {
    rings.repeat().offer(new RepeatEvent.RightsChanged(rightsSnapshot));
    rings.scheduling().offer(new SchedulingEvent.RightsChanged(rightsSnapshot));
    rings.ownership().offer(new EngineEvent.RightsChanged(rightsSnapshot));
    rings.quota().offer(new QuotaEvent.RightsChanged(sequence, rightsSnapshot));
  }
}
