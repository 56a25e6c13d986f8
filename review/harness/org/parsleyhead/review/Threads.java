package org.parsleyhead.review;

/** Starts daemon threads. Stateless. */
final class Threads {

  /** Work that may fail; a failure ends its thread only. */
  interface Work {
    void run() throws Exception;
  }

  private Threads() {}

  static Thread start(String name, Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (Exception exception) {
                return;
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
