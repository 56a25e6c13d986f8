package org.parsleyhead.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.parsleyhead.core.api.ParsleyheadException;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.log.EventLog;
import org.parsleyhead.standin.settings.StandinSettings;
import org.parsleyhead.standin.settings.StandinSettingsReader;

/** The program that runs stand-ins until it is ended by a signal. */
public final class StandinMain {

  private static final int EVENT_LOOPS = 4;
  private static final Duration FETCH_TIMEOUT = Duration.ofMinutes(2);

  private StandinMain() {}

  /** Runs the program. */
  public static void main(String[] arguments) {
    int exitCode = StandinCommand.run(arguments, System.out, System.err, StandinMain::serve);
    if (exitCode != StandinCommand.EXIT_FINE) {
      System.exit(exitCode);
    }
  }

  private static void serve(Path settingsFile) {
    StandinSettings settings = read(settingsFile);
    EventLog.configureProcess();
    EventLog log = new EventLog("standin");
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(daemon("timer"));
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    AsyncHttpClient client =
        Dsl.asyncHttpClient(
            Dsl.config().setRequestTimeout(FETCH_TIMEOUT).setReadTimeout(FETCH_TIMEOUT));
    StandinEnvironment environment =
        new StandinEnvironment(
            group,
            (delay, action) -> timer.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS),
            Executors.newSingleThreadExecutor(daemon("maintenance")),
            MonotonicClock.SYSTEM,
            log);
    StandinFleet fleet = new StandinFleet(settings, client, environment);
    fleet.open();
    fleet.describe().forEach(System.out::println);
    System.out.println("ready=true");
    awaitSignal(fleet);
  }

  /**
   * Reads the settings of a file.
   *
   * @throws ParsleyheadException if they cannot be read or used
   */
  static StandinSettings read(Path file) {
    try {
      return StandinSettingsReader.read(Files.readString(file));
    } catch (IOException exception) {
      throw new StandinException(
          StandinException.FILE_FAILED, "cannot read the settings file " + file, exception);
    }
  }

  private static void awaitSignal(StandinFleet fleet) {
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  fleet.close();
                  ended.countDown();
                },
                "shutdown"));
    try {
      ended.await();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private static ThreadFactory daemon(String name) {
    return runnable -> {
      Thread thread = new Thread(runnable, name);
      thread.setDaemon(true);
      return thread;
    };
  }
}
