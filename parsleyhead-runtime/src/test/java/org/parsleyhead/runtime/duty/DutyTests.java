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
  private static final int FAILING_EVENT = -2;
  private static final Duration NEVER = Duration.ofHours(1);

  private final Ring<Integer> ring = new Ring<>("tested", 1_000);
  private final BlockingQueue<Integer> executed = new LinkedBlockingQueue<>();
  private final BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();
  private final AtomicLong clockNanoseconds = new AtomicLong();

  @Test
  @DisplayName("applies events in order and executes their effects")
  void appliesInOrder() throws InterruptedException {
    try (var duty = duty(NEVER, executed::add)) {
      duty.start();
      IntStream.rangeClosed(1, 100).forEach(ring::offer);
      assertEquals(IntStream.rangeClosed(1, 100).boxed().toList(), takeExecuted(100));
      assertEquals(100, duty.state());
    }
  }

  @Test
  @DisplayName("applies ticks while events are pending")
  void ticksUnderLoad() throws InterruptedException {
    IntStream.rangeClosed(1, 900).forEach(ring::offer);
    try (var duty = duty(Duration.ofMillis(10), executed::add)) {
      duty.start();
      List<Integer> effects = takeExecuted(900);
      assertTrue(effects.contains(TICK));
      assertTrue(effects.indexOf(TICK) < 20, () -> "first tick at " + effects.indexOf(TICK));
    }
  }

  @Test
  @DisplayName("keeps its state and continues after a transition fails")
  void survivesFailingTransition() throws InterruptedException {
    try (var duty = duty(NEVER, executed::add)) {
      duty.start();
      List.of(1, FAILING_EVENT, 2).forEach(ring::offer);
      assertEquals(List.of(1, 2), takeExecuted(2));
      assertEquals("failing event", failures.take().getMessage());
      assertEquals(2, duty.state());
    }
  }

  @Test
  @DisplayName("continues after an effect throws an error")
  void survivesFailingEffect() throws InterruptedException {
    Consumer<Integer> effects =
        effect -> {
          if (effect == 1) {
            throw new AssertionError("failing effect");
          }
          executed.add(effect);
        };
    try (var duty = duty(NEVER, effects)) {
      duty.start();
      List.of(1, 2).forEach(ring::offer);
      assertEquals(List.of(2), takeExecuted(1));
      assertEquals("failing effect", failures.take().getMessage());
    }
  }

  @Test
  @DisplayName("continues after an effect interrupts its thread")
  void survivesInterruption() throws InterruptedException {
    Consumer<Integer> effects =
        effect -> {
          if (effect == 1) {
            Thread.currentThread().interrupt();
          }
          executed.add(effect);
        };
    try (var duty = duty(NEVER, effects)) {
      duty.start();
      ring.offer(1);
      assertTrue(failures.take() instanceof InterruptedException);
      ring.offer(2);
      assertEquals(List.of(1, 2), takeExecuted(2));
    }
  }

  @Test
  @DisplayName("continues after the creation of a tick fails")
  void survivesFailingTickFactory() throws InterruptedException {
    AtomicInteger attempts = new AtomicInteger();
    try (var duty =
        new Duty<Integer, Integer, Integer>(
            ring,
            0,
            DutyTests::apply,
            executed::add,
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
      assertEquals(List.of(TICK), takeExecuted(1));
    }
  }

  @Test
  @DisplayName("takes no further events after it is closed")
  void stopsWhenClosed() throws InterruptedException {
    var duty = duty(NEVER, executed::add);
    duty.start();
    ring.offer(1);
    assertEquals(List.of(1), takeExecuted(1));
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
    if (event == FAILING_EVENT) {
      throw new IllegalArgumentException("failing event");
    }
    return Step.of(event, event);
  }

  private MonotonicTime now() {
    return new MonotonicTime(clockNanoseconds.addAndGet(Duration.ofMillis(1).toNanos()));
  }

  private List<Integer> takeExecuted(int count) throws InterruptedException {
    List<Integer> taken = new ArrayList<>();
    while (taken.size() < count) {
      taken.add(executed.take());
    }
    return taken;
  }
}
