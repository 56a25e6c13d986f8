import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Opens connections of clients. */
final class Client {

  private Client() {}

  /** Connects as clients do, which allow a connection one second. */
  static Socket connect(String address) throws IOException {
    int colon = address.indexOf(':');
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        1_000);
    return socket;
  }
}
