package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchRefusal;
import org.parsleyhead.core.dispatch.ServingRequest;
import org.parsleyhead.core.fleet.FleetEffect;
import org.parsleyhead.core.fleet.FleetEvent;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.publication.PublicationEvent;
import org.parsleyhead.gateway.api.EngineControl;
import org.parsleyhead.gateway.api.HttpDialect;
import org.parsleyhead.gateway.api.PublicationSource;
import org.parsleyhead.gateway.api.ResponseHead;
import org.parsleyhead.runtime.command.ExitStatus;
import org.parsleyhead.runtime.settings.SettingsReader;

@DisplayName("A gateway whose store is silent")
@Timeout(60)
class GatewayStopTests {

  private static final int READ_TIMEOUT_MILLISECONDS = 20_000;

  private final int callersPort = freePort();

  private static int freePort() {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    } catch (IOException exception) {
      throw new AssertionError(exception);
    }
  }

  private GatewayProcess start() {
    String settings =
        """
        host.name = "host"
        host.failure_domain = "domain"
        callers.endpoint = "127.0.0.1:%d"
        readiness.endpoint = "127.0.0.1:%d"
        peers.endpoint = "127.0.0.1:%d"
        publication.endpoint = "127.0.0.1:1"
        process.grace = "1 s"
        """
            .formatted(callersPort, freePort(), freePort());
    return GatewayProcess.start(
        GatewaySettingsReader.read(SettingsReader.parse(settings)),
        read ->
            new PlatformAdapter(
                new EmptyDialect(),
                new SilentSource(),
                item -> {
                  throw new UnsupportedOperationException("nothing is published");
                },
                new SilentEngines()));
  }

  private Socket request() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), callersPort);
    socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
    socket
        .getOutputStream()
        .write("GET /x HTTP/1.1\r\nHost: host\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  private static String readToEnd(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1)
        .toLowerCase(java.util.Locale.ROOT);
  }

  @Test
  @DisplayName("answers the requests that it has received when it stops, and then ends")
  void answersWaitingRequests() throws Exception {
    GatewayProcess gateway = start();
    try (Socket first = request();
        Socket second = request()) {
      CompletableFuture<ExitStatus> stopped = CompletableFuture.supplyAsync(gateway::stop);
      for (Socket caller : new Socket[] {first, second}) {
        String response = readToEnd(caller);
        assertTrue(response.startsWith("http/1.1 503"), response);
        assertTrue(response.contains("content-length: 0"), response);
      }
      assertEquals(ExitStatus.SUCCESS, stopped.get(20, TimeUnit.SECONDS));
    }
  }

  /** States the code of a refusal. Stateless. */
  private static final class EmptyDialect implements HttpDialect {

    @Override
    public ServingRequest readRequest(long key, HttpRequest head) {
      return new ServingRequest(
          key,
          "",
          "host",
          head.uri(),
          Optional.empty(),
          Optional.of(Duration.ofSeconds(30)),
          Optional.empty());
    }

    @Override
    public HttpHeaders upstreamHeaders(
        HttpRequest head, DispatchEffect.Send send, Optional<String> lastEvent) {
      throw new UnsupportedOperationException("nothing is sent to an instance");
    }

    @Override
    public ResponseHead readResponse(HttpResponse response) {
      throw new UnsupportedOperationException("nothing is sent to an instance");
    }

    @Override
    public HttpHeaders callerHeaders(HttpResponse response) {
      throw new UnsupportedOperationException("nothing is sent to an instance");
    }

    @Override
    public HttpHeaders refusalHeaders(ServingRequest request, DispatchRefusal refusal) {
      return new DefaultHttpHeaders().set("Code", refusal.code());
    }
  }

  /** Never answers. Stateless. */
  private static final class SilentSource implements PublicationSource {

    @Override
    public void readPage(
        int readNumber, int connection, String afterKey, Consumer<PublicationEvent> listener) {}

    @Override
    public void watch(
        int readNumber,
        int connection,
        long afterRevision,
        Duration timeout,
        Consumer<PublicationEvent> listener) {}
  }

  /** Never answers. Stateless. */
  private static final class SilentEngines implements EngineControl {

    @Override
    public void sendOrder(FleetEffect.SendOrder order, Consumer<FleetEvent> listener) {}

    @Override
    public void requestReport(Instance instance, Consumer<FleetEvent> listener) {}
  }
}
