package org.parsleyhead.standin;

import java.util.concurrent.CountDownLatch;
import org.parsleyhead.runtime.log.EventLog;
import org.parsleyhead.standin.settings.StandinSettings;

/** The main class of the stand-ins, which run until a signal stops the process. */
public final class StandinMain {

  private StandinMain() {}

  /** Runs the command and exits with its code if it fails. */
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
    CountDownLatch terminated = new CountDownLatch(1);
    Thread shutdown =
        new Thread(
            () -> {
              process.close();
              terminated.countDown();
            },
            "shutdown");
    Runtime.getRuntime().addShutdownHook(shutdown);
    try {
      terminated.await();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
