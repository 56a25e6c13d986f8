package org.parsleyhead.core.scheduling;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.ticket.UpstreamItem;

/** The events of {@link SchedulingTransition}. Implementations are immutable and thread-safe. */
public sealed interface SchedulingEvent {

  /** The host list or the exclusive rights of this host changed. */
  record RightsChanged(RightsSnapshot rightsSnapshot) implements SchedulingEvent {}

  /** The upstreams of this cell changed; plain services among them are ignored. */
  record UpstreamsChanged(List<UpstreamItem> upstreams) implements SchedulingEvent {

    /** Copies the upstreams. */
    public UpstreamsChanged {
      upstreams = List.copyOf(upstreams);
    }
  }

  /** A request was submitted for dispatch, for the first time or again. */
  record Submitted(ModelRequest request) implements SchedulingEvent {}

  /** A dispatched request ended; {@code tokens} is the length of its answer. */
  record Finished(RequestIdentifier identifier, RequestOutcome outcome, int tokens)
      implements SchedulingEvent {}

  /** A waiting or dispatched request was cancelled. */
  record Cancelled(RequestIdentifier identifier) implements SchedulingEvent {}

  /**
   * A pin grant, pin refusal, pin recall or engine hint was received from a host, possibly this
   * one.
   */
  record MessageReceived(Sender sender, PeerMessage message) implements SchedulingEvent {}

  /** An engine was found to be down or to have restarted without its adapters. */
  record UpstreamFailed(UpstreamName upstream) implements SchedulingEvent {}

  /** Time has passed. */
  record Tick(long randomNumber) implements SchedulingEvent {}
}
