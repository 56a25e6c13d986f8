package org.parsleyhead.entry.process;

import org.parsleyhead.core.engine.EngineEffect;
import org.parsleyhead.core.engine.OwnershipSettings;
import org.parsleyhead.core.membership.MembershipSettings;

/**
 * Carries out the effects of the ownership duty.
 *
 * <p>Stateless and thread-safe.
 */
final class EngineOrders {

  private EngineOrders() {}

  /** Returns the settings of ownership that fit the attestations between hosts. */
  static OwnershipSettings settings(
      EntrySettings.WeightStoreAllowance allowance, MembershipSettings membership) {
    OwnershipSettings usual =
        OwnershipSettings.of(allowance.loadsPerSecond(), allowance.maximumTransfers());
    return new OwnershipSettings(
        membership.bindingDuration(),
        usual.pinDuration(),
        usual.clockMargin(),
        usual.reportLag(),
        usual.maximumRequestTransit(),
        usual.orderLifetime(),
        usual.orderTimeout(),
        usual.readInterval(),
        usual.permitStartWindow(),
        usual.loadsPerSecond(),
        usual.maximumTransfers(),
        usual.initialBackoff(),
        usual.maximumBackoff(),
        usual.reuseHalfLife());
  }

  /** Carries out one effect; runs on the ownership duty's thread and does not block. */
  static void carryOut(DutySockets sockets, EngineEffect effect) {
    if (effect instanceof EngineEffect.Send send) {
      sockets.peers().send(send.host(), send.message());
    } else if (effect instanceof EngineEffect.ReadEngine read) {
      sockets.engines().read(read);
    } else if (effect instanceof EngineEffect.LoadAdapter load) {
      sockets.engines().load(load);
    } else if (effect instanceof EngineEffect.UnloadAdapter unload) {
      sockets.engines().unload(unload);
    }
  }
}
