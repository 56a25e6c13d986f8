package org.parsleyhead.runtime.command;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The stop signal and the exit of this process.
 *
 * <p>SIGTERM, SIGINT and SIGHUP terminate a Java process through its shutdown hooks. The hook of
 * this class forwards the stop request, waits until the program has finished, and exits with the
 * status of the program. Thread-safe; a process has one instance.
 */
public final class ProcessLifecycle implements StopSignal {

  private static final String HOOK_NAME = "planned-stop";

  private final CountDownLatch requested = new CountDownLatch(1);
  private final CountDownLatch finished = new CountDownLatch(1);
  private final AtomicReference<ExitStatus> status = new AtomicReference<>(ExitStatus.FAILURE);

  private ProcessLifecycle() {}

  /** Installs the shutdown hook in this process. */
  public static ProcessLifecycle install() {
    ProcessLifecycle lifecycle = new ProcessLifecycle();
    Runtime.getRuntime().addShutdownHook(new Thread(lifecycle::onShutdown, HOOK_NAME));
    return lifecycle;
  }

  @Override
  public void await() throws InterruptedException {
    requested.await();
  }

  /** Exits the process with a status, whether or not a stop was requested. */
  public void exit(ExitStatus exitStatus) {
    status.set(exitStatus);
    finished.countDown();
    System.exit(exitStatus.code());
  }

  private void onShutdown() {
    requested.countDown();
    try {
      finished.await();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    System.out.flush();
    Runtime.getRuntime().halt(status.get().code());
  }
}
