import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Hands out free loopback ports, each once. Thread-safe. */
final class Ports {

  private static final Set<Integer> USED = new HashSet<>();

  private Ports() {}

  /** Returns an endpoint of the form ADDRESS:PORT on which nothing listens. */
  static synchronized String freeEndpoint() throws IOException {
    while (true) {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
        if (USED.add(socket.getLocalPort())) {
          return "127.0.0.1:" + socket.getLocalPort();
        }
      }
    }
  }

  static int portOf(String endpoint) {
    return Integer.parseInt(endpoint.substring(endpoint.lastIndexOf(':') + 1));
  }
}
