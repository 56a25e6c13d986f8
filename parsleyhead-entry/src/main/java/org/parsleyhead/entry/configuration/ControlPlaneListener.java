package org.parsleyhead.entry.configuration;

import java.util.function.Consumer;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.ticket.ConfigurationEffect;

/**
 * The callbacks through which the control plane notifies the rest of the process.
 *
 * <p>The callbacks run on the threads of the control plane and must not block; they usually offer
 * an event to a ring.
 *
 * <p>Immutable; thread-safe if the callbacks are.
 *
 * @param rights receives each new rights snapshot and acknowledges it as soon as no user of
 *     exclusive rights acts on an earlier one
 * @param hostList receives each newer host list
 * @param catalogue receives each new catalogue with its changes
 * @param ready runs once, when this host has enough configuration to serve callers
 * @param released runs once after a stop request, when no exclusive right is in use any longer
 * @param messages receives the messages of other hosts that no part of the control plane handles
 */
public record ControlPlaneListener(
    RightsListener rights,
    Consumer<HostList> hostList,
    Consumer<ConfigurationEffect.CatalogueChanged> catalogue,
    Runnable ready,
    Runnable released,
    Consumer<Envelope> messages) {

  /** Requires every callback. */
  public ControlPlaneListener {
    Preconditions.requireNonNull(rights, "rights");
    Preconditions.requireNonNull(hostList, "hostList");
    Preconditions.requireNonNull(catalogue, "catalogue");
    Preconditions.requireNonNull(ready, "ready");
    Preconditions.requireNonNull(released, "released");
    Preconditions.requireNonNull(messages, "messages");
  }

  /** Receives new rights snapshots. */
  @FunctionalInterface
  public interface RightsListener {

    /**
     * Called when the rights of this host have changed.
     *
     * @param rightsSnapshot the new rights snapshot
     * @param applied acknowledges the snapshot; to be run, on any thread, when no user of exclusive
     *     rights acts on an earlier one
     */
    void changed(RightsSnapshot rightsSnapshot, Runnable applied);
  }
}
