package org.parsleyhead.standin;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.Executor;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.log.EventLog;

/**
 * The event loops, timers, clock and log that all stand-ins of one process share.
 *
 * <p>Immutable and thread-safe.
 *
 * @param eventLoops the event loops of all listeners
 * @param timer schedules actions
 * @param maintenance runs actions that block until a listener is open or closed, outside the event
 *     loops
 * @param clock the monotonic clock
 * @param log the event log of the process
 */
public record StandinEnvironment(
    EventLoopGroup eventLoops,
    DelayTimer timer,
    Executor maintenance,
    MonotonicClock clock,
    EventLog log) {

  /** Logs that the duty of a stand-in failed to handle an event. */
  public void logEventFailure(String name, Throwable cause) {
    log.failure("event_failed", cause, "standin", name);
  }
}
