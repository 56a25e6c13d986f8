package org.parsleyhead.entry.peer;

import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The outgoing connection to one host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status whether it is open
 * @param endpoint where the other host listens
 * @param link the number of the connection
 * @param since when the status began
 * @param failures how many attempts failed in a row
 * @param notBefore when the next attempt is allowed, or on an open connection the next ping
 * @param waiting the messages that wait for the connection to open
 * @param written whether anything was written since the last ping
 * @param pingSentAt when the ping that is not yet answered was sent
 */
record LinkState(
    Status status,
    Endpoint endpoint,
    long link,
    MonotonicTime since,
    int failures,
    MonotonicTime notBefore,
    PVector<PeerMessage> waiting,
    boolean written,
    Optional<MonotonicTime> pingSentAt) {

  static LinkState idle(Endpoint endpoint, int failures, MonotonicTime time, MonotonicTime next) {
    return new LinkState(
        Status.IDLE,
        endpoint,
        0,
        time,
        failures,
        next,
        TreePVector.empty(),
        false,
        Optional.empty());
  }

  LinkState connecting(long newLink, MonotonicTime time) {
    return new LinkState(
        Status.CONNECTING,
        endpoint,
        newLink,
        time,
        failures,
        notBefore,
        waiting,
        false,
        Optional.empty());
  }

  LinkState open(MonotonicTime time) {
    return new LinkState(
        Status.OPEN,
        endpoint,
        link,
        time,
        failures,
        notBefore,
        TreePVector.empty(),
        !waiting.isEmpty(),
        Optional.empty());
  }

  LinkState withWaiting(PeerMessage message) {
    return new LinkState(
        status,
        endpoint,
        link,
        since,
        failures,
        notBefore,
        waiting.plus(message),
        written,
        pingSentAt);
  }

  LinkState asWritten() {
    return withPing(true, failures, pingSentAt);
  }

  LinkState pinged(MonotonicTime time, MonotonicTime next) {
    return new LinkState(
        status, endpoint, link, since, failures, next, waiting, false, Optional.of(time));
  }

  LinkState answered() {
    return withPing(written, 0, Optional.empty());
  }

  private LinkState withPing(boolean dirty, int failed, Optional<MonotonicTime> sentAt) {
    return new LinkState(status, endpoint, link, since, failed, notBefore, waiting, dirty, sentAt);
  }

  /** Whether a connection is open. */
  enum Status {
    IDLE,
    CONNECTING,
    OPEN
  }
}
