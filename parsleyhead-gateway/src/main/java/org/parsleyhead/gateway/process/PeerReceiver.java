package org.parsleyhead.gateway.process;

import java.util.function.Consumer;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.fleet.FleetEvent;
import org.parsleyhead.core.fleet.Heartbeat;
import org.parsleyhead.core.fleet.HeartbeatAnswer;
import org.parsleyhead.core.fleet.LoadAnswer;
import org.parsleyhead.core.fleet.LoadRequest;
import org.parsleyhead.core.fleet.PublicationUpdate;
import org.parsleyhead.core.fleet.PublicationUpdateRequest;
import org.parsleyhead.core.fleet.QuarantineReport;
import org.parsleyhead.core.publication.PublicationEvent;
import org.parsleyhead.runtime.duty.Ring;

/**
 * Passes the messages of other hosts to the duties. A message that does not fit into a ring is
 * dropped; messages may also be lost in the network.
 *
 * <p>Immutable and thread-safe.
 */
final class PeerReceiver implements Consumer<Envelope> {

  private final Ring<FleetEvent> fleet;
  private final Ring<PublicationEvent> publication;
  private final Ring<DispatchEvent> dispatch;

  PeerReceiver(
      Ring<FleetEvent> fleet, Ring<PublicationEvent> publication, Ring<DispatchEvent> dispatch) {
    this.fleet = fleet;
    this.publication = publication;
    this.dispatch = dispatch;
  }

  @Override
  public void accept(Envelope envelope) {
    String host = envelope.sender().host().text();
    long incarnation = envelope.sender().incarnation().value();
    PeerMessage message = envelope.message();
    if (message instanceof Heartbeat heartbeat) {
      fleet.offer(new FleetEvent.HeartbeatReceived(host, incarnation, heartbeat));
    } else if (message instanceof HeartbeatAnswer answer) {
      fleet.offer(new FleetEvent.HeartbeatAnswered(host, incarnation, answer));
    } else if (message instanceof LoadRequest request) {
      fleet.offer(new FleetEvent.LoadRequested(request));
    } else if (message instanceof LoadAnswer answer) {
      fleet.offer(new FleetEvent.LoadAnswered(answer));
    } else if (message instanceof PublicationUpdateRequest request) {
      publication.offer(
          new PublicationEvent.UpdateRequested(
              request.endpoint(), request.era(), request.afterRevision()));
    } else if (message instanceof QuarantineReport report) {
      dispatch.offer(new DispatchEvent.QuarantineNews(host, report.reports()));
    } else if (message instanceof PublicationUpdate update) {
      publication.offer(
          new PublicationEvent.UpdateReceived(
              host,
              update.era(),
              update.items(),
              update.afterRevision(),
              update.revision(),
              update.former()));
    }
  }
}
