package org.parsleyhead.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.standin.settings.StandinSettingsReader;

/** Stand-ins on free ports, with a client for tests. */
final class RunningFleet implements AutoCloseable {

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<Integer> ports = new ArrayList<>();
  private final StandinProcess process;

  /** Starts stand-ins; each {@code PORTn} in the settings becomes the n-th free port. */
  RunningFleet(String settings, int portCount) {
    findPorts(portCount);
    String text = settings;
    for (int index = 0; index < portCount; index++) {
      text = text.replace("PORT" + index, Integer.toString(ports.get(index)));
    }
    process = StandinProcess.start(StandinSettingsReader.read(text));
  }

  int port(int index) {
    return ports.get(index);
  }

  HttpResponse<String> call(
      String method, int portIndex, String path, String body, String... headers)
      throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + port(portIndex) + path);
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri).method(method, HttpRequest.BodyPublishers.ofString(body));
    for (int index = 0; index < headers.length; index += 2) {
      request.header(headers[index], headers[index + 1]);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private void findPorts(int count) {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int index = 0; index < count; index++) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        ports.add(socket.getLocalPort());
      }
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    } catch (IOException exception) {
      throw new IllegalStateException("no free port", exception);
    }
  }

  @Override
  public void close() {
    process.close();
  }
}
