package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.Ring;

@DisplayName("A sender of events that must not be lost")
class EventSenderTests {

  private final DefaultEventLoop eventLoop = new DefaultEventLoop();
  private final Ring<String> ring = new Ring<>("test", 1);
  private final EventSender<String> sender = new EventSender<>(ring, eventLoop);

  @AfterEach
  void stop() {
    eventLoop.shutdownGracefully();
  }

  @Test
  @DisplayName("delivers all of them although the ring was full")
  void deliversAll() throws Exception {
    List<String> events = List.of("catalogue", "removal", "version");
    events.forEach(sender::send);
    assertFalse(sender.offer("request"));
    BlockingQueue<String> taken = new LinkedBlockingQueue<>();
    Duty<Integer, String, String> duty =
        new Duty<>(
            ring,
            0,
            (state, event, time) -> Step.of(state, event),
            taken::add,
            () -> "tick",
            Duration.ofHours(1),
            () -> MonotonicTime.ORIGIN,
            failure -> {});
    duty.start();
    List<String> received = new ArrayList<>();
    while (received.size() < events.size()) {
      String event = taken.take();
      if (!event.equals("tick")) {
        received.add(event);
      }
    }
    duty.close();
    assertEquals(events.stream().sorted().toList(), received.stream().sorted().toList());
    assertEquals(0, ring.size());
  }
}
