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

/** A fleet of stand-ins on free ports with an HTTP client, for tests. */
final class RunningFleet implements AutoCloseable {

  private static final int FIRST_PORT = 15_000;
  private static final int PORT_RANGE = 10_000;
  private static final int LAST_PORT = 30_000;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<Integer> ports = new ArrayList<>();
  private final StandinProcess process;

  /** Starts the stand-ins; each {@code PORTn} in the settings is replaced by the n-th free port. */
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
    return callPort(method, port(portIndex), path, body, headers);
  }

  HttpResponse<String> callPort(
      String method, int port, String path, String body, String... headers)
      throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + port + path);
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri).method(method, HttpRequest.BodyPublishers.ofString(body));
    for (int index = 0; index < headers.length; index += 2) {
      request.header(headers[index], headers[index + 1]);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Finds consecutive free ports below the range that the system uses for outgoing connections. */
  private void findPorts(int count) {
    int start = FIRST_PORT + (int) (ProcessHandle.current().pid() * count % PORT_RANGE);
    for (int first = start; first < LAST_PORT; first += count) {
      if (areFree(first, count)) {
        for (int port = first; port < first + count; port++) {
          ports.add(port);
        }
        return;
      }
    }
    throw new IllegalStateException("no block of consecutive free ports found");
  }

  private static boolean areFree(int first, int count) {
    for (int port = first; port < first + count; port++) {
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        if (!socket.isBound()) {
          return false;
        }
      } catch (IOException exception) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void close() {
    process.close();
  }
}
