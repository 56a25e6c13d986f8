package org.parsleyhead.entry.process;

import java.util.function.Consumer;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.core.engine.EngineEvent;
import org.parsleyhead.core.idempotency.RepeatEvent;
import org.parsleyhead.core.membership.Standing;
import org.parsleyhead.core.quota.QuotaEvent;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.entry.configuration.ControlPlaneListener;

/**
 * Hands what the control plane finds out to the duties of an entry host.
 *
 * <p>Stateless and thread-safe.
 */
final class ControlListeners {

  private ControlListeners() {}

  /**
   * Returns the listener.
   *
   * @param rings the rings of the duties
   * @param barrier is told of each standing before its users are
   * @param catalogues takes the catalogues and host lists
   * @param released is run when no exclusive right is used any longer
   * @param messages takes the messages of other hosts
   */
  static ControlPlaneListener create(
      Rings rings,
      RightsBarrier barrier,
      CatalogueDistribution catalogues,
      Runnable released,
      Consumer<Envelope> messages) {
    return new ControlPlaneListener(
        (standing, applied) -> handOut(rings, standing, barrier.issue(standing, applied)),
        catalogues::hostListChanged,
        catalogues::catalogueChanged,
        () -> {},
        released,
        messages);
  }

  private static void handOut(Rings rings, Standing standing, long sequence) {
    rings.repeat().offer(new RepeatEvent.StandingChanged(standing));
    rings.scheduling().offer(new SchedulingEvent.StandingChanged(standing));
    rings.ownership().offer(new EngineEvent.StandingChanged(standing));
    rings.quota().offer(new QuotaEvent.StandingChanged(sequence, standing));
  }
}
