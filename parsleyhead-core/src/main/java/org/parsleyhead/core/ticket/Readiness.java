package org.parsleyhead.core.ticket;

import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.ServiceState.SnapshotStatus;

/**
 * Decides when a starting host is ready to serve callers.
 *
 * <p>Stateless apart from its settings and thread-safe. A host is ready when it has merged all
 * tickets that any host reported as merged, and all published tickets that could be read if the
 * service has answered. In addition, a ready host and the service must have answered; after the
 * startup timeout, either of them is enough. Without either of them, or without a host list, the
 * host does not become ready.
 */
final class Readiness {

  /** The maximum number of published tickets that the service may report as absent. */
  private static final int MAXIMUM_ABSENT_TICKETS = 64;

  private final ConfigurationSettings settings;

  Readiness(ConfigurationSettings settings) {
    this.settings = settings;
  }

  boolean isReady(ConfigurationState state, MonotonicTime time) {
    ServiceState service = state.service();
    if (state.peers().firstHostListAt().isEmpty()) {
      return false;
    }
    Duration waited = time.since(state.peers().firstHostListAt().get());
    boolean timedOut = waited.compareTo(settings.startupTimeout()) >= 0;
    boolean serviceAnswered =
        service.latestKnown() && service.snapshot().status() == SnapshotStatus.DONE;
    boolean peerAnswered = state.peers().readyPeerSeen();
    boolean enoughAnswers =
        timedOut ? peerAnswered || serviceAnswered : peerAnswered && serviceAnswered;
    return enoughAnswers
        && state.mergedThrough() >= state.peers().highestPeerMergedThrough()
        && (!service.latestKnown() || hasReadAllPublishedTickets(state));
  }

  private static boolean hasReadAllPublishedTickets(ConfigurationState state) {
    List<Long> missing =
        state.applied().missing(state.service().latestTicketNumber(), MAXIMUM_ABSENT_TICKETS + 1);
    return missing.size() <= MAXIMUM_ABSENT_TICKETS
        && missing.stream()
            .map(number -> new ServiceRead.TicketHead(new TicketNumber(number)))
            .allMatch(state.service()::isAbsent);
  }
}
