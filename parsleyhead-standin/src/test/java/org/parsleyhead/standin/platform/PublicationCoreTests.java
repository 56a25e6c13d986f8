package org.parsleyhead.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.standin.ModeChange;
import org.parsleyhead.standin.ServiceMode;

@DisplayName("A publication service")
class PublicationCoreTests {

  private PublicationState state = PublicationState.INITIAL;
  private MonotonicTime now = MonotonicTime.ORIGIN;

  @Test
  @DisplayName("responds to a watch once the revision is higher than the reader's")
  void answersWatch() {
    put("a");
    assertEquals(List.of(), apply(new PublicationEvent.Watch(1, "x", 1, Duration.ofSeconds(1))));
    assertEquals(2, found(put("b")).value().revision());
    assertEquals(0, state.watches().size());
  }

  @Test
  @DisplayName("responds to a watch that nothing changed once its deadline has passed")
  void endsWatch() {
    apply(new PublicationEvent.Watch(1, "x", 0, Duration.ofSeconds(1)));
    now = now.plus(Duration.ofSeconds(2));
    assertEquals(List.of(new PublicationEffect.Unchanged(1)), apply(new PublicationEvent.Tick()));
  }

  @Test
  @DisplayName("publishes a snapshot in the mode stale and the current values afterwards")
  void staysStale() {
    put("a");
    mode(ServiceMode.STALE);
    put("b");
    assertEquals(1, found(apply(new PublicationEvent.Read(1, "x"))).value().revision());
    mode(ServiceMode.UP);
    assertEquals(2, found(apply(new PublicationEvent.Read(2, "x"))).value().revision());
  }

  @Test
  @DisplayName("counts each request once, including a pending watch")
  void countsCalls() {
    apply(new PublicationEvent.Read(1, "x"));
    apply(new PublicationEvent.Watch(2, "x", 0, Duration.ofSeconds(1)));
    apply(new PublicationEvent.Tick());
    assertEquals(2, state.requestCount());
  }

  @Test
  @DisplayName("removes a watch whose connection closed")
  void forgetsClosedWatch() {
    apply(new PublicationEvent.Watch(1, "x", 0, Duration.ofSeconds(1)));
    apply(new PublicationEvent.ConnectionClosed(1));
    assertEquals(List.of(), put("a"));
  }

  private List<PublicationEffect> put(String value) {
    return apply(new PublicationEvent.Put("x", value.getBytes(), OptionalLong.empty()));
  }

  private void mode(ServiceMode mode) {
    apply(new PublicationEvent.ModeChanged(new ModeChange(mode, Duration.ZERO)));
  }

  private static PublicationEffect.Found found(List<PublicationEffect> effects) {
    return assertInstanceOf(PublicationEffect.Found.class, effects.get(0));
  }

  private List<PublicationEffect> apply(PublicationEvent event) {
    Step<PublicationState, PublicationEffect> step = new PublicationCore().apply(state, event, now);
    state = step.state();
    return step.effects();
  }
}
