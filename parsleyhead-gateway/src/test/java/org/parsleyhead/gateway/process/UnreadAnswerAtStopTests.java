package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.fleet.FleetEffect;
import org.parsleyhead.core.fleet.FleetEvent;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.publication.PublicationEvent;
import org.parsleyhead.core.publication.PublishedItem;
import org.parsleyhead.core.serving.RequestKind;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;
import org.parsleyhead.core.serving.ServiceRoute;
import org.parsleyhead.core.serving.WeightedService;
import org.parsleyhead.gateway.api.DecodedItem;
import org.parsleyhead.gateway.api.EngineControl;
import org.parsleyhead.gateway.api.PublicationSource;
import org.parsleyhead.gateway.upstreams.FakeRawServer;
import org.parsleyhead.runtime.command.ExitStatus;

/** Guards against whole answers that the end of the process cuts while time is left. */
@DisplayName("A planned stop with an answer that its caller has not read yet")
@Timeout(60)
class UnreadAnswerAtStopTests {

  /** More than the buffers of both sockets hold, and less than a host buffers of one answer. */
  private static final int BODY_BYTES = 7 << 20;

  private static final Duration STOP_TIME = Duration.ofSeconds(1);
  private static final String CATALOGUE = "catalogue";

  private static Endpoint freeEndpoint() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new Endpoint("127.0.0.1", free.getLocalPort());
    }
  }

  private static GatewaySettings settings(Endpoint callers) throws IOException {
    return new GatewaySettings(
        new HostName("host"),
        new FailureDomainName("near"),
        callers,
        freeEndpoint(),
        freeEndpoint(),
        Optional.empty(),
        List.of(),
        true,
        100,
        freeEndpoint(),
        STOP_TIME,
        Duration.ofMillis(1_500),
        Duration.ofMillis(300),
        0.2,
        100_000,
        Duration.ofSeconds(10),
        0.1,
        0,
        38,
        Duration.ofMillis(250),
        Duration.ofMillis(25),
        Map.of());
  }

  private static DecodedItem decode(PublishedItem item, int serverPort) {
    return item.key().equals(CATALOGUE)
        ? new DecodedItem.Catalogue(
            new ServiceCatalogue(
                1,
                List.of(
                    new ServiceRoute(
                        "/read",
                        LastEventDialect.HOST,
                        "/read",
                        RequestKind.IDEMPOTENT,
                        Duration.ofSeconds(30),
                        Duration.ofMillis(300),
                        Duration.ofMillis(250),
                        1,
                        List.of(new WeightedService("service", 1)),
                        1,
                        true)),
                List.of(new ServiceDefinition("service", 100, Optional.empty())),
                RequestLimits.INITIAL,
                List.of()))
        : new DecodedItem.Announcement(
            new Instance(
                "server",
                1,
                "service",
                new Endpoint("127.0.0.1", serverPort),
                new FailureDomainName("near"),
                64,
                false,
                Set.of(),
                Map.of(),
                1));
  }

  private static Socket connect(Endpoint endpoint) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.connect(new InetSocketAddress(endpoint.address(), endpoint.port()));
    return socket;
  }

  /** Sends requests until one is answered with a success, of which nothing more is read. */
  private static Socket beginAnswer(Endpoint host) throws IOException, InterruptedException {
    for (int round = 0; ; round++) {
      Socket caller = connect(host);
      String head = "GET /read HTTP/1.1\r\nHost: host\r\nId: r" + round + "\r\n\r\n";
      caller.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      InputStream input = caller.getInputStream();
      String status = new String(input.readNBytes(12), StandardCharsets.ISO_8859_1);
      if (status.equals("HTTP/1.1 200")) {
        return caller;
      }
      caller.close();
      Thread.sleep(50);
    }
  }

  @Test
  @DisplayName("does not claim that all requests were answered")
  void countsUnreadAnswer() throws Exception {
    FakeRawServer.Script script =
        (identifier, output) -> {
          String head =
              "HTTP/1.1 200 OK\r\nId: "
                  + identifier
                  + "\r\nStamp: s\r\nContent-Length: "
                  + BODY_BYTES
                  + "\r\n\r\n";
          output.write(head.getBytes(StandardCharsets.ISO_8859_1));
          output.write(new byte[BODY_BYTES]);
        };
    Endpoint callers = freeEndpoint();
    try (FakeRawServer server = new FakeRawServer(script)) {
      GatewayProcess host =
          GatewayProcess.start(
              settings(callers),
              settings ->
                  new PlatformAdapter(
                      new LastEventDialect(),
                      new TwoItems(),
                      item -> decode(item, server.port()),
                      new NoEngines()));
      try (Socket caller = beginAnswer(callers)) {
        assertEquals(ExitStatus.FAILURE, host.stop(), "with an unread answer on " + caller);
      }
    }
  }

  /** Publishes a catalogue and an instance that never change. Thread-safe. */
  private static final class TwoItems implements PublicationSource {

    @Override
    public void readPage(
        int readNumber, int connection, String afterKey, Consumer<PublicationEvent> listener) {
      listener.accept(
          new PublicationEvent.PageRead(
              readNumber,
              List.of(
                  new PublishedItem(CATALOGUE, 1, Optional.of("")),
                  new PublishedItem("instance", 2, Optional.of(""))),
              false,
              2));
    }

    @Override
    public void watch(
        int readNumber,
        int connection,
        long afterRevision,
        Duration timeout,
        Consumer<PublicationEvent> listener) {
      // Nothing ever changes.
    }
  }

  /** There are no model servers. Thread-safe. */
  private static final class NoEngines implements EngineControl {

    @Override
    public void sendOrder(FleetEffect.SendOrder order, Consumer<FleetEvent> listener) {
      throw new UnsupportedOperationException("there are no model servers");
    }

    @Override
    public void requestReport(Instance instance, Consumer<FleetEvent> listener) {
      throw new UnsupportedOperationException("there are no model servers");
    }
  }
}
