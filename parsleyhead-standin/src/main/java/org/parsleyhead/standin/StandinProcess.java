package org.parsleyhead.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.log.EventLog;
import org.parsleyhead.standin.settings.StandinSettings;

/**
 * Runs the stand-ins of some settings and owns their threads.
 *
 * <p>Thread-safe. Listeners are open once {@link #start} returns.
 */
public final class StandinProcess implements AutoCloseable {

  private static final int EVENT_LOOP_THREADS = 4;
  private static final Duration WEIGHT_FETCH_TIMEOUT = Duration.ofMinutes(2);

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(daemonThreads("timer"));
  private final ExecutorService maintenance =
      Executors.newSingleThreadExecutor(daemonThreads("maintenance"));
  private final AsyncHttpClient client =
      Dsl.asyncHttpClient(
          Dsl.config()
              .setRequestTimeout(WEIGHT_FETCH_TIMEOUT)
              .setReadTimeout(WEIGHT_FETCH_TIMEOUT));
  private final StandinFleet fleet;

  private StandinProcess(StandinSettings settings) {
    StandinEnvironment environment =
        new StandinEnvironment(
            eventLoops,
            (delay, action) -> timer.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS),
            maintenance,
            MonotonicClock.SYSTEM,
            new EventLog("standin"));
    this.fleet = new StandinFleet(settings, client, environment);
  }

  /**
   * Starts the stand-ins that the settings describe and opens their listeners.
   *
   * @throws StandinException if an endpoint cannot be bound
   */
  public static StandinProcess start(StandinSettings settings) {
    StandinProcess process = new StandinProcess(settings);
    try {
      process.fleet.open();
    } catch (StandinException exception) {
      process.close();
      throw exception;
    }
    return process;
  }

  /** Returns one line of key=value pairs for each listener. */
  public List<String> describe() {
    return fleet.describe();
  }

  @Override
  public void close() {
    fleet.close();
    timer.shutdownNow();
    maintenance.shutdownNow();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    try {
      client.close();
    } catch (IOException exception) {
      throw new StandinException(
          StandinException.FILE_FAILED, "cannot close the HTTP client", exception);
    }
  }

  private static ThreadFactory daemonThreads(String name) {
    return runnable -> {
      Thread thread = new Thread(runnable, name);
      thread.setDaemon(true);
      return thread;
    };
  }
}
