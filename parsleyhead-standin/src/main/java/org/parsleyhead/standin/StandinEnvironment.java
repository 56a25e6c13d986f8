package org.parsleyhead.standin;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.Executor;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.log.EventLog;

/**
 * What all stand-ins of one process share.
 *
 * <p>Immutable and thread-safe.
 *
 * @param eventLoops the event loops of all listeners
 * @param timer runs actions later
 * @param maintenance runs actions that wait until a listener is open or closed
 * @param clock the monotonic clock
 * @param log the log
 */
public record StandinEnvironment(
    EventLoopGroup eventLoops,
    DelayTimer timer,
    Executor maintenance,
    MonotonicClock clock,
    EventLog log) {

  /** Logs the failure of an event of a duty. */
  public void logEventFailure(String name, Throwable cause) {
    log.failure("event_failed", cause, "standin", name);
  }
}
