package org.parsleyhead.standin;

import java.util.concurrent.CountDownLatch;
import org.parsleyhead.runtime.log.EventLog;
import org.parsleyhead.standin.settings.StandinSettings;

/** The program that runs stand-ins until it is ended by a signal. */
public final class StandinMain {

  private StandinMain() {}

  /** Runs the program. */
  public static void main(String[] arguments) {
    int exitCode = StandinCommand.run(arguments, System.out, System.err, StandinMain::serve);
    if (exitCode != StandinCommand.EXIT_SUCCESS) {
      System.exit(exitCode);
    }
  }

  private static void serve(StandinSettings settings) {
    EventLog.configureProcess();
    StandinProcess process = StandinProcess.start(settings);
    process.describe().forEach(System.out::println);
    System.out.println("ready=true");
    awaitSignal(process);
  }

  private static void awaitSignal(StandinProcess process) {
    CountDownLatch ended = new CountDownLatch(1);
    Thread shutdown =
        new Thread(
            () -> {
              process.close();
              ended.countDown();
            },
            "shutdown");
    Runtime.getRuntime().addShutdownHook(shutdown);
    try {
      ended.await();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
