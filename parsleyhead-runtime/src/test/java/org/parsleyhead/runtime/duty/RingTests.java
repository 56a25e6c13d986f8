package org.parsleyhead.runtime.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.InvalidValueException;

@DisplayName("A ring")
class RingTests {

  private final Ring<Integer> ring = new Ring<>("numbers", 3);

  @Test
  @DisplayName("returns events in the order of their acceptance")
  void keepsOrder() throws InterruptedException {
    List<Integer> taken = new ArrayList<>();
    for (int event = 1; event <= 3; event++) {
      ring.offer(event);
    }
    for (int count = 0; count < 3; count++) {
      ring.take(Duration.ZERO).ifPresent(taken::add);
    }
    assertEquals(List.of(1, 2, 3), taken);
  }

  @Test
  @DisplayName("rejects and counts events when it is full, and accepts events again after a take")
  void rejectsWhenFull() throws InterruptedException {
    assertTrue(ring.offer(1) && ring.offer(2) && ring.offer(3));
    assertFalse(ring.offer(4));
    assertEquals(1, ring.rejections());
    assertEquals(ring.capacity(), ring.size());
    ring.take(Duration.ZERO);
    assertTrue(ring.offer(5));
  }

  @Test
  @DisplayName("returns nothing when no event is pending")
  void isInitiallyEmpty() throws InterruptedException {
    assertEquals(Optional.empty(), ring.take(Duration.ZERO));
  }

  @Test
  @DisplayName("requires a capacity of at least one event")
  void rejectsZeroCapacity() {
    assertThrows(InvalidValueException.class, () -> new Ring<>("none", 0));
  }
}
