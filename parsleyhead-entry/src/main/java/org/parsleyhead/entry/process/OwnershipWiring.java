package org.parsleyhead.entry.process;

import org.parsleyhead.core.engine.EngineEffect;
import org.parsleyhead.core.engine.OwnershipSettings;
import org.parsleyhead.core.membership.MembershipSettings;

/**
 * Connects the ownership duty to other hosts and to engines.
 *
 * <p>Stateless and thread-safe.
 */
final class OwnershipWiring {

  private OwnershipWiring() {}

  /**
   * Returns ownership settings whose attestation duration is the binding duration of membership.
   */
  static OwnershipSettings settings(
      EntrySettings.WeightStoreLimits limits, MembershipSettings membership) {
    OwnershipSettings defaults =
        OwnershipSettings.of(limits.loadsPerSecond(), limits.maximumTransfers());
    return new OwnershipSettings(
        membership.bindingDuration(),
        defaults.pinDuration(),
        defaults.clockMargin(),
        defaults.reportLag(),
        defaults.maximumRequestTransit(),
        defaults.orderLifetime(),
        defaults.orderTimeout(),
        defaults.readInterval(),
        defaults.permitStartWindow(),
        defaults.loadsPerSecond(),
        defaults.maximumTransfers(),
        defaults.initialBackoff(),
        defaults.maximumBackoff(),
        defaults.reuseHalfLife());
  }

  /** Executes one effect; runs on the thread of the ownership duty and does not block. */
  static void execute(DutyDependencies dependencies, EngineEffect effect) {
    if (effect instanceof EngineEffect.Send send) {
      dependencies.peers().send(send.host(), send.message());
    } else if (effect instanceof EngineEffect.ReadEngine read) {
      dependencies.engines().read(read);
    } else if (effect instanceof EngineEffect.LoadAdapter load) {
      dependencies.engines().load(load);
    } else if (effect instanceof EngineEffect.UnloadAdapter unload) {
      dependencies.engines().unload(unload);
    }
  }
}
