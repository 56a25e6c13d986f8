package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.Ring;

@DisplayName("A sender of events that must not be lost")
@Timeout(60)
class EventSenderTests {

  private static final int THREADS = 4;
  private static final int EVENTS_PER_THREAD = 15;

  private final DefaultEventLoop eventLoop = new DefaultEventLoop();
  private final Ring<String> ring = new Ring<>("test", 1);
  private final EventSender<String> sender = new EventSender<>(ring, eventLoop);
  private final CountDownLatch proceed = new CountDownLatch(1);
  private final BlockingQueue<String> taken = new LinkedBlockingQueue<>();
  private final Duty<Integer, String, String> duty =
      new Duty<>(
          ring,
          0,
          (state, event, time) -> Step.of(state, event),
          taken::add,
          () -> "tick",
          Duration.ofHours(1),
          () -> MonotonicTime.ORIGIN,
          failure -> {});

  @AfterEach
  void stop() {
    proceed.countDown();
    duty.close();
    eventLoop.shutdownGracefully();
  }

  /** Keeps events that wait from being offered again. */
  private void holdEventLoop() {
    eventLoop.execute(
        () -> {
          try {
            proceed.await();
          } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private List<String> take(int events) throws InterruptedException {
    List<String> received = new ArrayList<>();
    while (received.size() < events) {
      String event = taken.poll(20, TimeUnit.SECONDS);
      if (event == null) {
        throw new AssertionError("lost events, received " + received);
      }
      received.add(event);
    }
    return received;
  }

  @Test
  @DisplayName("delivers all of them in their order although the ring was full")
  void deliversAll() throws Exception {
    List<String> events = List.of("catalogue", "removal", "version");
    events.forEach(sender::send);
    assertFalse(sender.offer("request"));
    duty.start();
    assertEquals(events, take(events.size()));
    assertEquals(0, ring.size());
  }

  /** The end of an attempt must not arrive before its start. */
  @Test
  @DisplayName("lets no later event take the room that has become free for an earlier one")
  void keepsOrderOnceThereIsRoom() throws Exception {
    holdEventLoop();
    sender.send("request");
    sender.send("started");
    duty.start();
    final List<String> received = take(1);
    sender.send("ended");
    proceed.countDown();
    received.addAll(take(2));
    assertEquals(List.of("request", "started", "ended"), received);
  }

  @Test
  @DisplayName("refuses an event that may be refused while earlier ones wait, and loses none")
  void refusesWhileEventsWait() throws Exception {
    holdEventLoop();
    sender.send("request");
    sender.send("started");
    duty.start();
    final List<String> received = take(1);
    assertFalse(sender.offer("new request"));
    proceed.countDown();
    received.addAll(take(1));
    assertEquals(List.of("request", "started"), received);
    assertTrue(sender.offer("new request"));
    assertEquals(List.of("new request"), take(1));
  }

  @Test
  @DisplayName("keeps the order of each thread")
  void keepsOrderOfEachThread() throws Exception {
    duty.start();
    List<Thread> threads =
        IntStream.range(0, THREADS)
            .mapToObj(
                thread ->
                    new Thread(
                        () ->
                            IntStream.range(0, EVENTS_PER_THREAD)
                                .forEach(event -> sender.send(thread + ":" + event))))
            .toList();
    threads.forEach(Thread::start);
    List<String> received = take(THREADS * EVENTS_PER_THREAD);
    for (int thread = 0; thread < THREADS; thread++) {
      String prefix = thread + ":";
      assertEquals(
          IntStream.range(0, EVENTS_PER_THREAD).mapToObj(event -> prefix + event).toList(),
          received.stream().filter(event -> event.startsWith(prefix)).toList());
    }
  }
}
