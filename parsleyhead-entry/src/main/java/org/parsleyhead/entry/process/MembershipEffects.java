package org.parsleyhead.entry.process;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.engine.EngineEvent;
import org.parsleyhead.core.idempotency.RepeatEvent;
import org.parsleyhead.core.membership.MembershipEffect;
import org.parsleyhead.core.membership.MembershipState;
import org.parsleyhead.core.membership.Standing;
import org.parsleyhead.core.quota.QuotaEvent;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.core.ticket.ConfigurationEvent;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Carries out the effects of the membership duty: a new standing goes to every user of exclusive
 * rights. Runs on the membership duty's thread and does not block.
 */
final class MembershipEffects implements Consumer<MembershipEffect> {

  private final Rings rings;
  private final PeerRouter peers;
  private final RightsBarrier barrier;
  private final Supplier<MembershipState> state;
  private final Runnable listChanged;
  private final EventLog log;
  private long lastVersion;

  /**
   * Creates the effects.
   *
   * @param rings the rings of the duties
   * @param peers sends messages
   * @param barrier is told of each standing before its users are
   * @param state gives the last state of the membership duty
   * @param listChanged is run after another version of the host list was handed on
   * @param log the log
   */
  MembershipEffects(
      Rings rings,
      PeerRouter peers,
      RightsBarrier barrier,
      Supplier<MembershipState> state,
      Runnable listChanged,
      EventLog log) {
    this.rings = Preconditions.requireNonNull(rings, "rings");
    this.peers = Preconditions.requireNonNull(peers, "peers");
    this.barrier = Preconditions.requireNonNull(barrier, "barrier");
    this.state = Preconditions.requireNonNull(state, "state");
    this.listChanged = Preconditions.requireNonNull(listChanged, "listChanged");
    this.log = Preconditions.requireNonNull(log, "log");
  }

  @Override
  public void accept(MembershipEffect effect) {
    if (effect instanceof MembershipEffect.Send send) {
      peers.send(send.host(), send.message());
    } else if (effect instanceof MembershipEffect.StandingChanged changed) {
      standingChanged(changed);
    } else if (effect instanceof MembershipEffect.LivenessChanged changed) {
      log.info("liveness_changed", "host", changed.host(), "liveness", changed.liveness());
      hostsChanged();
    }
  }

  private void standingChanged(MembershipEffect.StandingChanged changed) {
    Standing standing = changed.standing();
    barrier.issued(changed.sequence(), standing);
    rings.repeat().offer(new RepeatEvent.StandingChanged(standing));
    rings.scheduling().offer(new SchedulingEvent.StandingChanged(standing));
    rings.ownership().offer(new EngineEvent.StandingChanged(standing));
    rings.quota().offer(new QuotaEvent.StandingChanged(changed.sequence(), standing));
    if (standing.version() != lastVersion) {
      lastVersion = standing.version();
      log.info(
          "host_list_in_force",
          "version",
          standing.version(),
          "members",
          standing.members().size());
      hostsChanged();
      listChanged.run();
    }
  }

  private void hostsChanged() {
    MembershipState current = state.get();
    rings
        .configuration()
        .offer(new ConfigurationEvent.HostsChanged(current.hostList(), current.aliveHosts()));
  }
}
