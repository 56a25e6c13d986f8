package org.parsleyhead.entry.configuration;

import java.util.function.Consumer;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.core.membership.Standing;
import org.parsleyhead.core.ticket.ConfigurationEffect;

/**
 * Who is told of what the control plane finds out.
 *
 * <p>Immutable; thread-safe if the functions are. The functions run on the threads of the control
 * plane and must not block; they usually offer an event to a ring.
 *
 * @param standing takes a new standing, and runs the action as soon as no user of exclusive rights
 *     acts on an earlier one
 * @param hostList takes each newer host list
 * @param catalogue takes each new catalogue with its changes
 * @param ready is run once, when this host knows enough to serve callers
 * @param released is run once after a request to stop, when no exclusive right is used any longer
 * @param messages takes the messages of other hosts that belong to no part of the control plane
 */
public record ControlPlaneListener(
    StandingListener standing,
    Consumer<HostList> hostList,
    Consumer<ConfigurationEffect.CatalogueChanged> catalogue,
    Runnable ready,
    Runnable released,
    Consumer<Envelope> messages) {

  /** Checks that all functions are there. */
  public ControlPlaneListener {
    Preconditions.requireNonNull(standing, "standing");
    Preconditions.requireNonNull(hostList, "hostList");
    Preconditions.requireNonNull(catalogue, "catalogue");
    Preconditions.requireNonNull(ready, "ready");
    Preconditions.requireNonNull(released, "released");
    Preconditions.requireNonNull(messages, "messages");
  }

  /** Takes new standings. */
  @FunctionalInterface
  public interface StandingListener {

    /**
     * Takes a new standing.
     *
     * @param standing the standing
     * @param applied to be run, on any thread, when no user of exclusive rights acts on an earlier
     *     standing
     */
    void changed(Standing standing, Runnable applied);
  }
}
