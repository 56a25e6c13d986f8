package org.parsleyhead.core.scheduling;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.Standing;
import org.parsleyhead.core.ticket.UpstreamItem;

/** What the scheduling duty hears. Implementations are immutable and thread-safe. */
public sealed interface SchedulingEvent {

  /** The host list or the attestations changed. */
  record StandingChanged(Standing standing) implements SchedulingEvent {}

  /** The upstreams of this cell changed; plain services among them are ignored. */
  record UpstreamsChanged(List<UpstreamItem> upstreams) implements SchedulingEvent {

    /** Copies the list. */
    public UpstreamsChanged {
      upstreams = List.copyOf(upstreams);
    }
  }

  /** A request wants to be dispatched, for the first time or again. */
  record Submitted(ModelRequest request) implements SchedulingEvent {}

  /** A dispatched request ended; tokens are those of its answer. */
  record Finished(RequestIdentifier identifier, RequestOutcome outcome, int tokens)
      implements SchedulingEvent {}

  /** A waiting or dispatched request is not wanted any more. */
  record Cancelled(RequestIdentifier identifier) implements SchedulingEvent {}

  /** A host, this one included, sent a pin grant, a refusal, a recall or a hint. */
  record MessageReceived(Sender sender, PeerMessage message) implements SchedulingEvent {}

  /** An engine was found to be down or to have restarted with nothing. */
  record UpstreamFailed(UpstreamName upstream) implements SchedulingEvent {}

  /** Time has passed. */
  record Tick(long randomNumber) implements SchedulingEvent {}
}
