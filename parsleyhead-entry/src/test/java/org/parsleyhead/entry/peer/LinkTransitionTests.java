package org.parsleyhead.entry.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.membership.AttestationRequest;

@DisplayName("Outgoing connections")
class LinkTransitionTests {

  private static final HostName OTHER = new HostName("other");
  private static final Endpoint ENDPOINT = new Endpoint("127.0.0.1", 4_000);
  private static final PeerMessage MESSAGE = new AttestationRequest(1, 1);
  private static final PeerTransportSettings SETTINGS =
      PeerTransportSettings.of(
          new Sender(new HostName("self"), new Incarnation(1)), new Endpoint("127.0.0.1", 1));
  private static final LinkEvent SEND = new LinkEvent.SendRequested(OTHER, ENDPOINT, MESSAGE);

  private final LinkTransition transition = new LinkTransition(SETTINGS);
  private LinkTransition.State state = LinkTransition.State.INITIAL;
  private MonotonicTime time = MonotonicTime.ORIGIN;

  private List<LinkEffect> apply(LinkEvent event) {
    Step<LinkTransition.State, LinkEffect> step = transition.apply(state, event, time);
    state = step.state();
    return step.effects();
  }

  private void open() {
    apply(SEND);
    apply(new LinkEvent.Connected(OTHER, 1));
  }

  @Test
  @DisplayName("are opened on demand and then send the pending messages")
  void opensOnDemand() {
    assertEquals(List.of(new LinkEffect.Connect(OTHER, 1, ENDPOINT)), apply(SEND));
    assertEquals(List.of(), apply(SEND));
    LinkEffect write = new LinkEffect.Write(OTHER, 1, MESSAGE);
    assertEquals(List.of(write, write), apply(new LinkEvent.Connected(OTHER, 1)));
    assertEquals(List.of(write), apply(SEND));
  }

  @Test
  @DisplayName("are reopened only after a delay, and messages sent meanwhile are dropped")
  void backsOff() {
    apply(SEND);
    assertEquals(List.of(new LinkEffect.Drop(1)), apply(new LinkEvent.Closed(OTHER, 1)));
    assertEquals(List.of(new LinkEffect.Drop(1)), apply(SEND));
    time = time.plus(SETTINGS.firstRetryDelay());
    assertEquals(List.of(new LinkEffect.Connect(OTHER, 2, ENDPOINT)), apply(SEND));
  }

  @Test
  @DisplayName("are reopened without further delay once the other host has sent a message")
  void connectsWhenReachable() {
    apply(SEND);
    apply(new LinkEvent.Closed(OTHER, 1));
    apply(new LinkEvent.HostReachable(OTHER));
    assertEquals(List.of(new LinkEffect.Connect(OTHER, 2, ENDPOINT)), apply(SEND));
  }

  @Test
  @DisplayName("are replaced when a ping is not answered in time")
  void replacesUnresponsive() {
    open();
    assertEquals(List.of(new LinkEffect.Ping(OTHER, 1)), apply(new LinkEvent.Tick(1)));
    time = time.plus(SETTINGS.pingTimeout()).plus(Duration.ofMillis(1));
    assertEquals(List.of(new LinkEffect.Close(1, true)), apply(new LinkEvent.Tick(2)));
    assertEquals(List.of(new LinkEffect.Connect(OTHER, 2, ENDPOINT)), apply(SEND));
  }

  @Test
  @DisplayName("stay open when pings are answered, and are not pinged without traffic")
  void keepsAnswered() {
    open();
    apply(new LinkEvent.Tick(1));
    apply(new LinkEvent.PongReceived(OTHER, 1));
    time = time.plus(SETTINGS.pingTimeout().multipliedBy(2));
    assertEquals(List.of(), apply(new LinkEvent.Tick(2)));
  }

  @Test
  @DisplayName("ignore events of a connection that was replaced")
  void ignoresReplaced() {
    open();
    assertEquals(List.of(), apply(new LinkEvent.Closed(OTHER, 7)));
    assertEquals(List.of(new LinkEffect.Close(7, false)), apply(new LinkEvent.Connected(OTHER, 7)));
    assertEquals(List.of(new LinkEffect.Write(OTHER, 1, MESSAGE)), apply(SEND));
  }

  @Test
  @DisplayName("are replaced when the endpoint of the host changes")
  void followsEndpoint() {
    open();
    Endpoint moved = new Endpoint("127.0.0.1", 4_001);
    List<LinkEffect> effects = apply(new LinkEvent.SendRequested(OTHER, moved, MESSAGE));
    assertEquals(
        List.of(new LinkEffect.Close(1, false), new LinkEffect.Connect(OTHER, 2, moved)), effects);
  }

  @Test
  @DisplayName("are closed when they do not open in time")
  void closesAfterConnectTimeout() {
    apply(SEND);
    time = time.plus(SETTINGS.connectTimeout().multipliedBy(3));
    assertTrue(apply(new LinkEvent.Tick(1)).contains(new LinkEffect.Close(1, false)));
  }
}
