import java.io.IOException;

/** Starts daemon threads whose input or output may fail. */
final class Threads {

  /** Work that may fail. */
  interface Work {
    void run() throws IOException, InterruptedException;
  }

  private Threads() {}

  static Thread start(String name, Work work) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                work.run();
              } catch (IOException | InterruptedException ended) {
                // The other side has closed the connection, or the run ends.
              }
            },
            name,
            256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
