package org.parsleyhead.core.ticket;

import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.ServiceState.SnapshotStatus;

/**
 * Decides when a starting host knows enough to serve callers.
 *
 * <p>Stateless apart from its settings and thread-safe. A host is ready when it has merged what
 * every host that answered had merged, and what the service published as far as it could be read;
 * and either a ready host and the service have answered, or one of the two within the start
 * patience. Without either, or without a host list, it stays not ready.
 */
final class Readiness {

  private static final int MAXIMUM_ABSENT = 64;

  private final ConfigurationSettings settings;

  Readiness(ConfigurationSettings settings) {
    this.settings = settings;
  }

  boolean isReady(ConfigurationState state, MonotonicTime time) {
    ServiceState service = state.service();
    if (state.peers().listedAt().isEmpty()) {
      return false;
    }
    Duration waited = time.since(state.peers().listedAt().get());
    boolean patient = waited.compareTo(settings.startPatience()) >= 0;
    boolean serviceRead =
        service.latestRead() && service.snapshot().status() == SnapshotStatus.DONE;
    boolean peerHeard = state.peers().readyPeerHeard();
    boolean answered = patient ? peerHeard || serviceRead : peerHeard && serviceRead;
    return answered
        && state.mergedThrough() >= state.peers().target()
        && (!service.latestRead() || hasReadAll(state));
  }

  private static boolean hasReadAll(ConfigurationState state) {
    List<Long> missing = state.applied().missing(state.service().latest(), MAXIMUM_ABSENT + 1);
    return missing.size() <= MAXIMUM_ABSENT
        && missing.stream()
            .map(number -> new ServiceRead.TicketHead(new TicketNumber(number)))
            .allMatch(state.service()::isAbsent);
  }
}
