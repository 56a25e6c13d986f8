package org.parsleyhead.runtime.duty;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;

/**
 * A thread that owns one state: it takes events from its ring, applies a transition to the state
 * and executes the resulting effects.
 *
 * <p>Only this thread changes the state. {@link #state()} returns the latest state to any thread,
 * which is safe because states are immutable. A tick event is applied at a fixed interval, also
 * under load. An event whose transition fails is reported and dropped, and the state is kept. An
 * effect that fails is reported, and the effects after it are still executed. No exception, error
 * or interrupt ends the thread; only {@link #close()} does.
 *
 * @param <S> the type of the state
 * @param <E> the type of the events
 * @param <F> the type of the effects
 */
public final class Duty<S, E, F> implements AutoCloseable {

  private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(5);

  private final Ring<E> ring;
  private final Transition<S, E, F> transition;
  private final Consumer<F> effectHandler;
  private final Supplier<E> tickFactory;
  private final Duration tickInterval;
  private final MonotonicClock clock;
  private final Consumer<Throwable> failureHandler;
  private final Thread thread;
  private volatile S state;
  private volatile boolean stopping;

  /**
   * Creates a duty that is not started yet.
   *
   * @param ring the source of the events; its name is also the name of the thread
   * @param initialState the state before the first event
   * @param transition computes the next state and the effects of an event
   * @param effectHandler executes one effect; runs on the thread of the duty and must not block
   * @param tickFactory creates the event that is applied at each interval
   * @param tickInterval the interval between two ticks
   * @param clock returns the time at which an event is applied
   * @param failureHandler receives each failure of a transition, an effect or the tick factory, and
   *     each interrupt that does not come from {@link #close()}; must not throw
   */
  public Duty(
      Ring<E> ring,
      S initialState,
      Transition<S, E, F> transition,
      Consumer<F> effectHandler,
      Supplier<E> tickFactory,
      Duration tickInterval,
      MonotonicClock clock,
      Consumer<Throwable> failureHandler) {
    this.ring = Preconditions.requireNonNull(ring, "ring");
    this.state = Preconditions.requireNonNull(initialState, "initialState");
    this.transition = Preconditions.requireNonNull(transition, "transition");
    this.effectHandler = Preconditions.requireNonNull(effectHandler, "effectHandler");
    this.tickFactory = Preconditions.requireNonNull(tickFactory, "tickFactory");
    this.tickInterval = Preconditions.requireNonNull(tickInterval, "tickInterval");
    this.clock = Preconditions.requireNonNull(clock, "clock");
    this.failureHandler = Preconditions.requireNonNull(failureHandler, "failureHandler");
    this.thread = new Thread(this::run, ring.name());
    this.thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Returns the latest state; can be called by any thread. */
  public S state() {
    return state;
  }

  /** Returns the ring of this duty. */
  public Ring<E> ring() {
    return ring;
  }

  /**
   * Stops the thread and waits for it to terminate, at most 5 seconds; pending events are dropped.
   * Returns immediately when called on the thread of the duty.
   */
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
        runReportingFailures(() -> apply(tickFactory.get()));
      } else {
        applyNextEvent(untilTick);
      }
    }
  }

  private void applyNextEvent(Duration timeout) {
    try {
      ring.take(timeout).ifPresent(event -> runReportingFailures(() -> apply(event)));
    } catch (InterruptedException exception) {
      if (!stopping) {
        failureHandler.accept(exception);
      }
    }
  }

  private void apply(E event) {
    Step<S, F> step = transition.apply(state, event, clock.now());
    state = step.state();
    step.effects().forEach(effect -> runReportingFailures(() -> effectHandler.accept(effect)));
  }

  private void runReportingFailures(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException | Error failure) {
      failureHandler.accept(failure);
    }
  }
}
