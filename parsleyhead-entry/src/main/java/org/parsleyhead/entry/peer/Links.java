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
 * The decisions on outgoing connections: one for each host that is sent to, opened on demand,
 * opened again with growing and random delays, and replaced when it is silent.
 *
 * <p>Stateless apart from its settings and thread-safe. Messages that cannot be sent soon are
 * dropped; the protocols above tolerate loss.
 */
final class Links implements Transition<Links.State, LinkEvent, LinkEffect> {

  private static final int MAXIMUM_WAITING = 256;
  private static final int MAXIMUM_DOUBLINGS = 10;

  private final PeerTransportSettings settings;

  Links(PeerTransportSettings settings) {
    this.settings = settings;
  }

  @Override
  public Step<State, LinkEffect> apply(State state, LinkEvent event, MonotonicTime time) {
    List<LinkEffect> effects = new ArrayList<>();
    return new Step<>(take(state, event, time, effects), effects);
  }

  private State take(State state, LinkEvent event, MonotonicTime time, List<LinkEffect> effects) {
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
    if (event instanceof LinkEvent.HostHeard heard) {
      LinkState link = state.links().get(heard.host());
      boolean waits = link != null && link.status() == Status.IDLE;
      return waits
          ? state.with(heard.host(), LinkState.idle(link.endpoint(), 0, time, time))
          : state;
    }
    LinkEvent.PongReceived pong = (LinkEvent.PongReceived) event;
    LinkState link = state.links().get(pong.host());
    boolean current = link != null && link.link() == pong.link();
    return current ? state.with(pong.host(), link.answered()) : state;
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
      return state.with(request.host(), link.asWritten());
    }
    if (link.status() == Status.IDLE && !time.isBefore(link.notBefore())) {
      long number = state.lastLink() + 1;
      effects.add(new LinkEffect.Connect(request.host(), number, link.endpoint()));
      LinkState connecting = link.connecting(number, time).withWaiting(request.message());
      return new State(
          state.links().plus(request.host(), connecting), number, state.randomNumber());
    }
    if (link.status() == Status.CONNECTING && link.waiting().size() < MAXIMUM_WAITING) {
      return state.with(request.host(), link.withWaiting(request.message()));
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
    for (PeerMessage message : link.waiting()) {
      effects.add(new LinkEffect.Write(connected.host(), link.link(), message));
    }
    return state.with(connected.host(), link.open(time));
  }

  private State failed(
      State state, HostName host, LinkState link, MonotonicTime time, List<LinkEffect> effects) {
    if (!link.waiting().isEmpty()) {
      effects.add(new LinkEffect.Drop(link.waiting().size()));
    }
    int failures = Math.min(link.failures() + 1, MAXIMUM_DOUBLINGS);
    MonotonicTime next = time.plus(delay(failures, state.randomNumber() ^ link.link()));
    return state.with(host, LinkState.idle(link.endpoint(), failures, time, next));
  }

  /** Returns a random delay between a half and the whole of the doubled first delay. */
  private Duration delay(int failures, long randomNumber) {
    long doubled = settings.firstRetryDelay().toNanos() << (failures - 1);
    long bound = Math.min(doubled, settings.maximumRetryDelay().toNanos());
    long half = bound / 2;
    return Duration.ofNanos(half + Math.floorMod(RandomNumbers.derive(randomNumber, 0), half + 1));
  }

  private State tick(State state, MonotonicTime time, List<LinkEffect> effects) {
    State current = state;
    for (var entry : state.links().entrySet()) {
      current = lookAfter(current, entry.getKey(), entry.getValue(), time, effects);
    }
    return current;
  }

  private State lookAfter(
      State state, HostName host, LinkState link, MonotonicTime time, List<LinkEffect> effects) {
    Duration age = time.since(link.since());
    if (link.status() == Status.IDLE) {
      boolean forgotten = age.compareTo(settings.idleLimit()) > 0;
      return forgotten ? state.without(host) : state;
    }
    if (link.status() == Status.CONNECTING) {
      boolean overdue = age.compareTo(settings.connectTimeout().multipliedBy(2)) > 0;
      if (!overdue) {
        return state;
      }
      effects.add(new LinkEffect.Close(link.link(), false));
      return failed(state, host, link, time, effects);
    }
    boolean silent =
        link.pingSentAt().isPresent()
            && time.since(link.pingSentAt().get()).compareTo(settings.silenceLimit()) > 0;
    if (silent) {
      effects.add(new LinkEffect.Close(link.link(), true));
      return state.with(host, LinkState.idle(link.endpoint(), 0, time, time));
    }
    boolean pings =
        link.written() && link.pingSentAt().isEmpty() && !time.isBefore(link.notBefore());
    if (pings) {
      effects.add(new LinkEffect.Ping(host, link.link()));
      return state.with(host, link.pinged(time, time.plus(settings.pingInterval())));
    }
    return state;
  }

  /**
   * All outgoing connections.
   *
   * <p>Immutable and thread-safe.
   *
   * @param links the connections by host
   * @param lastLink the number of the last connection
   * @param randomNumber the last random number
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
