import java.io.File;
import java.nio.file.Path;
import java.util.List;

/** Ends processes and removes their folder when this process ends. */
final class Cleanup {

  private Cleanup() {}

  static void atExit(List<Host> hosts, Path directory) {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  hosts.forEach(Host::end);
                  File[] files = directory.toFile().listFiles();
                  for (File file : files == null ? new File[0] : files) {
                    file.delete();
                  }
                  directory.toFile().delete();
                }));
  }
}
