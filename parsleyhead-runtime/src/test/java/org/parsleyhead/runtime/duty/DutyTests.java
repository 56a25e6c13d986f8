package org.parsleyhead.runtime.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

@DisplayName("A duty")
@Timeout(60)
class DutyTests {

  private static final int TICK = -1;
  private static final int FAULT = -2;
  private static final Duration NEVER = Duration.ofHours(1);

  private final Ring<Integer> ring = new Ring<>("tested", 1_000);
  private final BlockingQueue<Integer> carriedOut = new LinkedBlockingQueue<>();
  private final BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();
  private final AtomicLong reading = new AtomicLong();

  @Test
  @DisplayName("applies events in order and hands the effects on")
  void appliesInOrder() throws InterruptedException {
    try (var duty = duty(NEVER, carriedOut::add)) {
      duty.start();
      IntStream.rangeClosed(1, 100).forEach(ring::offer);
      assertEquals(IntStream.rangeClosed(1, 100).boxed().toList(), carriedOut(100));
      assertEquals(100, duty.state());
    }
  }

  @Test
  @DisplayName("ticks while events are waiting")
  void ticksUnderLoad() throws InterruptedException {
    IntStream.rangeClosed(1, 900).forEach(ring::offer);
    try (var duty = duty(Duration.ofMillis(10), carriedOut::add)) {
      duty.start();
      List<Integer> seen = carriedOut(900);
      assertTrue(seen.contains(TICK));
      assertTrue(seen.indexOf(TICK) < 20, () -> "first tick at " + seen.indexOf(TICK));
    }
  }

  @Test
  @DisplayName("goes on with the state it had after a transition fails")
  void survivesFailingTransition() throws InterruptedException {
    try (var duty = duty(NEVER, carriedOut::add)) {
      duty.start();
      List.of(1, FAULT, 2).forEach(ring::offer);
      assertEquals(List.of(1, 2), carriedOut(2));
      assertEquals("event refused", failures.take().getMessage());
      assertEquals(2, duty.state());
    }
  }

  @Test
  @DisplayName("goes on after an effect ends in an error")
  void survivesFailingEffect() throws InterruptedException {
    Consumer<Integer> effects =
        effect -> {
          if (effect == 1) {
            throw new AssertionError("effect refused");
          }
          carriedOut.add(effect);
        };
    try (var duty = duty(NEVER, effects)) {
      duty.start();
      List.of(1, 2).forEach(ring::offer);
      assertEquals(List.of(2), carriedOut(1));
      assertEquals("effect refused", failures.take().getMessage());
    }
  }

  @Test
  @DisplayName("goes on after its thread is interrupted by an effect")
  void survivesInterruption() throws InterruptedException {
    Consumer<Integer> effects =
        effect -> {
          if (effect == 1) {
            Thread.currentThread().interrupt();
          }
          carriedOut.add(effect);
        };
    try (var duty = duty(NEVER, effects)) {
      duty.start();
      ring.offer(1);
      assertTrue(failures.take() instanceof InterruptedException);
      ring.offer(2);
      assertEquals(List.of(1, 2), carriedOut(2));
    }
  }

  @Test
  @DisplayName("goes on after a tick cannot be created")
  void survivesFailingTicks() throws InterruptedException {
    AtomicInteger attempts = new AtomicInteger();
    try (var duty =
        new Duty<Integer, Integer, Integer>(
            ring,
            0,
            DutyTests::apply,
            carriedOut::add,
            () -> {
              if (attempts.incrementAndGet() == 1) {
                throw new IllegalStateException("no tick");
              }
              return TICK;
            },
            Duration.ofMillis(1),
            this::now,
            failures::add)) {
      duty.start();
      assertEquals("no tick", failures.take().getMessage());
      assertEquals(List.of(TICK), carriedOut(1));
    }
  }

  @Test
  @DisplayName("takes no further event once it is closed")
  void endsWhenClosed() throws InterruptedException {
    var duty = duty(NEVER, carriedOut::add);
    duty.start();
    ring.offer(1);
    assertEquals(List.of(1), carriedOut(1));
    duty.close();
    ring.offer(2);
    assertEquals(1, ring.size());
    assertFalse(
        Thread.getAllStackTraces().keySet().stream()
            .anyMatch(thread -> thread.getName().equals("tested")));
  }

  private Duty<Integer, Integer, Integer> duty(Duration tickInterval, Consumer<Integer> effects) {
    return new Duty<>(
        ring, 0, DutyTests::apply, effects, () -> TICK, tickInterval, this::now, failures::add);
  }

  private static Step<Integer, Integer> apply(Integer state, Integer event, MonotonicTime time) {
    if (event == FAULT) {
      throw new IllegalArgumentException("event refused");
    }
    return Step.of(event, event);
  }

  private MonotonicTime now() {
    return new MonotonicTime(reading.addAndGet(Duration.ofMillis(1).toNanos()));
  }

  private List<Integer> carriedOut(int count) throws InterruptedException {
    List<Integer> taken = new ArrayList<>();
    while (taken.size() < count) {
      taken.add(carriedOut.take());
    }
    return taken;
  }
}
