package org.parsleyhead.runtime.duty;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;

/**
 * One thread that owns one state: it takes events from its ring, applies a transition and hands the
 * effects on.
 *
 * <p>The state is only changed by this thread; {@link #state()} gives other threads the last one,
 * which is safe since states are immutable. A tick event is applied at a fixed interval, also under
 * load. An event whose transition fails is reported and dropped: the state stays as it was. An
 * effect that fails is reported and the effects behind it are still carried out. No failure, error
 * or interruption ends the thread; only {@link #close()} does.
 *
 * @param <S> the type of the state
 * @param <E> the type of the events
 * @param <F> the type of the effects
 */
public final class Duty<S, E, F> implements AutoCloseable {

  private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(5);

  private final Ring<E> ring;
  private final Transition<S, E, F> transition;
  private final Consumer<F> effects;
  private final Supplier<E> ticks;
  private final Duration tickInterval;
  private final MonotonicClock clock;
  private final Consumer<Throwable> failures;
  private final Thread thread;
  private volatile S state;
  private volatile boolean stopping;

  /**
   * Creates a duty that is not yet started.
   *
   * @param ring where its events come from; its name becomes the name of the thread
   * @param initial the first state
   * @param transition the decision
   * @param effects carries out one effect; runs on the thread of the duty and must not block
   * @param ticks creates the event that is applied at each interval
   * @param tickInterval the interval
   * @param clock gives the time of each event
   * @param failures is told of each event whose transition or effects failed; must not throw
   */
  public Duty(
      Ring<E> ring,
      S initial,
      Transition<S, E, F> transition,
      Consumer<F> effects,
      Supplier<E> ticks,
      Duration tickInterval,
      MonotonicClock clock,
      Consumer<Throwable> failures) {
    this.ring = Preconditions.requireNonNull(ring, "ring");
    this.state = Preconditions.requireNonNull(initial, "initial");
    this.transition = Preconditions.requireNonNull(transition, "transition");
    this.effects = Preconditions.requireNonNull(effects, "effects");
    this.ticks = Preconditions.requireNonNull(ticks, "ticks");
    this.tickInterval = Preconditions.requireNonNull(tickInterval, "tickInterval");
    this.clock = Preconditions.requireNonNull(clock, "clock");
    this.failures = Preconditions.requireNonNull(failures, "failures");
    this.thread = new Thread(this::run, ring.name());
    this.thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Returns the last state. */
  public S state() {
    return state;
  }

  /** Returns the ring of this duty. */
  public Ring<E> ring() {
    return ring;
  }

  /** Stops the thread and waits for its end; events that still wait are dropped. */
  @Override
  public void close() {
    stopping = true;
    thread.interrupt();
    if (Thread.currentThread() == thread) {
      return;
    }
    try {
      thread.join(JOIN_TIMEOUT.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    MonotonicTime nextTick = clock.now().plus(tickInterval);
    while (!stopping) {
      Duration untilTick = nextTick.since(clock.now());
      if (untilTick.isNegative() || untilTick.isZero()) {
        nextTick = clock.now().plus(tickInterval);
        guard(() -> apply(ticks.get()));
      } else {
        take(untilTick);
      }
    }
  }

  private void take(Duration timeout) {
    try {
      ring.take(timeout).ifPresent(event -> guard(() -> apply(event)));
    } catch (InterruptedException exception) {
      if (!stopping) {
        failures.accept(exception);
      }
    }
  }

  private void apply(E event) {
    Step<S, F> step = transition.apply(state, event, clock.now());
    state = step.state();
    step.effects().forEach(effect -> guard(() -> effects.accept(effect)));
  }

  private void guard(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException | Error failure) {
      failures.accept(failure);
    }
  }
}
