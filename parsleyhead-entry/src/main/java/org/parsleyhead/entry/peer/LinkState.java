package org.parsleyhead.entry.peer;

import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The state of the outgoing connection to one host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status whether the connection is open
 * @param endpoint where the other host listens
 * @param link the number of the connection, zero if the status is idle
 * @param statusSince when the connection entered its status
 * @param failures the number of consecutive failed connection attempts
 * @param notBefore the earliest time of the next attempt, or of the next ping if the connection is
 *     open
 * @param pending the messages to be written once the connection is open
 * @param writtenSincePing whether a message was written since the last ping
 * @param pingSentAt when the unanswered ping was sent
 */
record LinkState(
    Status status,
    Endpoint endpoint,
    long link,
    MonotonicTime statusSince,
    int failures,
    MonotonicTime notBefore,
    PVector<PeerMessage> pending,
    boolean writtenSincePing,
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
        pending,
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
        !pending.isEmpty(),
        Optional.empty());
  }

  LinkState withPending(PeerMessage message) {
    return new LinkState(
        status,
        endpoint,
        link,
        statusSince,
        failures,
        notBefore,
        pending.plus(message),
        writtenSincePing,
        pingSentAt);
  }

  LinkState withMessageWritten() {
    return withPing(true, failures, pingSentAt);
  }

  LinkState pinged(MonotonicTime time, MonotonicTime next) {
    return new LinkState(
        status, endpoint, link, statusSince, failures, next, pending, false, Optional.of(time));
  }

  LinkState withPong() {
    return withPing(writtenSincePing, 0, Optional.empty());
  }

  private LinkState withPing(boolean hasWritten, int failureCount, Optional<MonotonicTime> sentAt) {
    return new LinkState(
        status, endpoint, link, statusSince, failureCount, notBefore, pending, hasWritten, sentAt);
  }

  /** The lifecycle of an outgoing connection. */
  enum Status {
    IDLE,
    CONNECTING,
    OPEN
  }
}
