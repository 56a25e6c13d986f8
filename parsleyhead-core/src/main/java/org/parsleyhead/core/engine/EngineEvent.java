package org.parsleyhead.core.engine;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.ticket.UpstreamItem;

/** The events of {@link OwnershipTransition}. Implementations are immutable and thread-safe. */
public sealed interface EngineEvent {

  /** The host list or the attestations changed. */
  record RightsChanged(RightsSnapshot rightsSnapshot) implements EngineEvent {}

  /** The upstreams of this cell changed; plain services among them are ignored. */
  record UpstreamsChanged(List<UpstreamItem> upstreams) implements EngineEvent {

    /** Copies the list. */
    public UpstreamsChanged {
      upstreams = List.copyOf(upstreams);
    }
  }

  /** A host of the cell, this one included, sent a message about pins or permits. */
  record MessageReceived(Sender sender, PeerMessage message) implements EngineEvent {}

  /** A state read of an engine succeeded. */
  record ReportReceived(EngineReport report) implements EngineEvent {}

  /** A state read of an engine failed. */
  record ReadFailed(UpstreamName engine) implements EngineEvent {}

  /** An order completed, or its outcome will remain unknown. */
  record OrderCompleted(UpstreamName engine, long orderNumber, OrderOutcome outcome)
      implements EngineEvent {}

  /** Time has passed; carries a random number for decisions that need one. */
  record Tick(long randomNumber) implements EngineEvent {}
}
