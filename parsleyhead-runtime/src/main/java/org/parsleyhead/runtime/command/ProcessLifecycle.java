package org.parsleyhead.runtime.command;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The stop signals and the end of this process.
 *
 * <p>SIGTERM, SIGINT and SIGHUP end a Java process through its shutdown hooks. The hook of this
 * class passes the request on, waits until the program has finished, and ends the process with the
 * program's own exit status. Thread-safe; one instance for a process.
 */
public final class ProcessLifecycle implements StopSignal {

  private static final String HOOK_NAME = "planned-stop";

  private final CountDownLatch requested = new CountDownLatch(1);
  private final CountDownLatch finished = new CountDownLatch(1);
  private final AtomicReference<ExitStatus> status = new AtomicReference<>(ExitStatus.FAILURE);

  private ProcessLifecycle() {}

  /** Installs the hook in this process. */
  public static ProcessLifecycle install() {
    ProcessLifecycle lifecycle = new ProcessLifecycle();
    Runtime.getRuntime().addShutdownHook(new Thread(lifecycle::onShutdown, HOOK_NAME));
    return lifecycle;
  }

  @Override
  public void await() throws InterruptedException {
    requested.await();
  }

  /** Ends the process with a status, whether it was asked to stop or not. */
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
