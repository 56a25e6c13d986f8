/** Starts daemon threads whose failures end only themselves. Stateless. */
final class Threads {

  private Threads() {}

  /** Work that may fail. */
  interface Work {
    void run() throws Exception;
  }

  static Thread start(String name, Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (Exception ended) {
                // A connection that ends is usual here; what it means is recorded by its user.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
