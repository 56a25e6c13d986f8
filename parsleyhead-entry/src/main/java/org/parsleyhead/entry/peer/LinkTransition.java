package org.parsleyhead.entry.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.membership.RandomNumbers;
import org.parsleyhead.entry.peer.LinkState.Status;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Decides when outgoing connections are opened, pinged, replaced and closed.
 *
 * <p>There is at most one connection per destination host. It is opened on demand, reopened with
 * exponential backoff and jitter, and replaced when a ping is not answered in time. Messages that
 * cannot be sent soon are dropped; the protocols above tolerate loss.
 *
 * <p>Stateless apart from its settings and thread-safe.
 */
final class LinkTransition implements Transition<LinkTransition.State, LinkEvent, LinkEffect> {

  private static final int MAXIMUM_PENDING_MESSAGES = 256;
  private static final int MAXIMUM_DOUBLINGS = 10;

  private final PeerTransportSettings settings;

  LinkTransition(PeerTransportSettings settings) {
    this.settings = settings;
  }

  @Override
  public Step<State, LinkEffect> apply(State state, LinkEvent event, MonotonicTime time) {
    List<LinkEffect> effects = new ArrayList<>();
    return new Step<>(update(state, event, time, effects), effects);
  }

  private State update(State state, LinkEvent event, MonotonicTime time, List<LinkEffect> effects) {
    if (event instanceof LinkEvent.Tick tick) {
      return tick(new State(state.links(), state.lastLink(), tick.randomNumber()), time, effects);
    }
    if (event instanceof LinkEvent.SendRequested request) {
      return send(state, request, time, effects);
    }
    if (event instanceof LinkEvent.Connected connected) {
      return connected(state, connected, time, effects);
    }
    if (event instanceof LinkEvent.Closed closed) {
      LinkState link = state.links().get(closed.host());
      boolean current = link != null && link.link() == closed.link();
      return current ? failed(state, closed.host(), link, time, effects) : state;
    }
    if (event instanceof LinkEvent.HostReachable reachable) {
      LinkState link = state.links().get(reachable.host());
      boolean idle = link != null && link.status() == Status.IDLE;
      return idle
          ? state.with(reachable.host(), LinkState.idle(link.endpoint(), 0, time, time))
          : state;
    }
    LinkEvent.PongReceived pong = (LinkEvent.PongReceived) event;
    LinkState link = state.links().get(pong.host());
    boolean current = link != null && link.link() == pong.link();
    return current ? state.with(pong.host(), link.withPong()) : state;
  }

  private State send(
      State state, LinkEvent.SendRequested request, MonotonicTime time, List<LinkEffect> effects) {
    LinkState link = state.links().get(request.host());
    if (link == null || !link.endpoint().equals(request.endpoint())) {
      if (link != null && link.status() != Status.IDLE) {
        effects.add(new LinkEffect.Close(link.link(), false));
      }
      link = LinkState.idle(request.endpoint(), 0, time, time);
    }
    if (link.status() == Status.OPEN) {
      effects.add(new LinkEffect.Write(request.host(), link.link(), request.message()));
      return state.with(request.host(), link.withMessageWritten());
    }
    if (link.status() == Status.IDLE && !time.isBefore(link.notBefore())) {
      long number = state.lastLink() + 1;
      effects.add(new LinkEffect.Connect(request.host(), number, link.endpoint()));
      LinkState connecting = link.connecting(number, time).withPending(request.message());
      return new State(
          state.links().plus(request.host(), connecting), number, state.randomNumber());
    }
    if (link.status() == Status.CONNECTING && link.pending().size() < MAXIMUM_PENDING_MESSAGES) {
      return state.with(request.host(), link.withPending(request.message()));
    }
    effects.add(new LinkEffect.Drop(1));
    return state.with(request.host(), link);
  }

  private static State connected(
      State state, LinkEvent.Connected connected, MonotonicTime time, List<LinkEffect> effects) {
    LinkState link = state.links().get(connected.host());
    boolean current =
        link != null && link.link() == connected.link() && link.status() == Status.CONNECTING;
    if (!current) {
      effects.add(new LinkEffect.Close(connected.link(), false));
      return state;
    }
    for (PeerMessage message : link.pending()) {
      effects.add(new LinkEffect.Write(connected.host(), link.link(), message));
    }
    return state.with(connected.host(), link.open(time));
  }

  private State failed(
      State state, HostName host, LinkState link, MonotonicTime time, List<LinkEffect> effects) {
    if (!link.pending().isEmpty()) {
      effects.add(new LinkEffect.Drop(link.pending().size()));
    }
    int failures = Math.min(link.failures() + 1, MAXIMUM_DOUBLINGS);
    MonotonicTime next = time.plus(delay(failures, state.randomNumber() ^ link.link()));
    return state.with(host, LinkState.idle(link.endpoint(), failures, time, next));
  }

  /** Returns the backoff delay: random between half and all of the capped exponential delay. */
  private Duration delay(int failures, long randomNumber) {
    long doubled = settings.firstRetryDelay().toNanos() << (failures - 1);
    long bound = Math.min(doubled, settings.maximumRetryDelay().toNanos());
    long half = bound / 2;
    return Duration.ofNanos(half + Math.floorMod(RandomNumbers.derive(randomNumber, 0), half + 1));
  }

  private State tick(State state, MonotonicTime time, List<LinkEffect> effects) {
    State current = state;
    for (var entry : state.links().entrySet()) {
      current = maintain(current, entry.getKey(), entry.getValue(), time, effects);
    }
    return current;
  }

  private State maintain(
      State state, HostName host, LinkState link, MonotonicTime time, List<LinkEffect> effects) {
    Duration age = time.since(link.statusSince());
    if (link.status() == Status.IDLE) {
      boolean expired = age.compareTo(settings.idleTimeout()) > 0;
      return expired ? state.without(host) : state;
    }
    if (link.status() == Status.CONNECTING) {
      boolean overdue = age.compareTo(settings.connectTimeout().multipliedBy(2)) > 0;
      if (!overdue) {
        return state;
      }
      effects.add(new LinkEffect.Close(link.link(), false));
      return failed(state, host, link, time, effects);
    }
    boolean pingTimedOut =
        link.pingSentAt().isPresent()
            && time.since(link.pingSentAt().get()).compareTo(settings.pingTimeout()) > 0;
    if (pingTimedOut) {
      effects.add(new LinkEffect.Close(link.link(), true));
      return state.with(host, LinkState.idle(link.endpoint(), 0, time, time));
    }
    boolean pingDue =
        link.writtenSincePing() && link.pingSentAt().isEmpty() && !time.isBefore(link.notBefore());
    if (pingDue) {
      effects.add(new LinkEffect.Ping(host, link.link()));
      return state.with(host, link.pinged(time, time.plus(settings.pingInterval())));
    }
    return state;
  }

  /**
   * The state of all outgoing connections.
   *
   * <p>Immutable and thread-safe.
   *
   * @param links the connections by destination host
   * @param lastLink the number of the connection that was opened last
   * @param randomNumber the random number of the last tick, from which delays are derived
   */
  record State(PMap<HostName, LinkState> links, long lastLink, long randomNumber) {

    static final State INITIAL = new State(HashTreePMap.empty(), 0, 0);

    State with(HostName host, LinkState link) {
      return new State(links.plus(host, link), lastLink, randomNumber);
    }

    State without(HostName host) {
      return new State(links.minus(host), lastLink, randomNumber);
    }
  }
}
