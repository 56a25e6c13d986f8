package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.dispatch.DispatchRefusal;
import org.parsleyhead.core.dispatch.ServingRequest;
import org.parsleyhead.core.fleet.FleetEvent;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.gateway.callers.CallerServer;
import org.parsleyhead.gateway.upstreams.FakeRawServer;
import org.parsleyhead.gateway.upstreams.FullBacklog;
import org.parsleyhead.gateway.upstreams.UpstreamClient;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.Ring;

/** The test decides in place of the dispatch duty. */
@DisplayName("The executor of the effects of the dispatch duty")
@Timeout(60)
class DispatchEffectExecutorTests {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String EVENT = "b\r\ndata: one\n\n\r\n";
  private static final String END = "0\r\n\r\n";
  private static final DispatchRefusal REFUSAL =
      new DispatchRefusal(DispatchRefusal.Code.UPSTREAM_FAILED, Optional.empty());

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("test-sockets", true), NioIoHandler.newFactory());
  private final BlockingQueue<DispatchEvent> events = new LinkedBlockingQueue<>();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final RequestLines lines = new RequestLines();
  private final LastEventDialect dialect = new LastEventDialect();
  private Duty<Integer, DispatchEvent, DispatchEvent> duty;
  private DispatchEffectExecutor executor;
  private int port;

  @BeforeEach
  void start() throws IOException {
    EventLoop eventLoop = eventLoops.next();
    Ring<DispatchEvent> ring = new Ring<>("test", 16);
    EventSender<DispatchEvent> sender = new EventSender<>(ring, eventLoop);
    executor =
        new DispatchEffectExecutor(
            eventLoop,
            dialect,
            new UpstreamClient(dialect, sender::send, eventLoops),
            sender,
            new Ring<FleetEvent>("fleet", 16),
            metrics);
    duty =
        new Duty<>(
            ring,
            0,
            (state, event, time) -> Step.of(state, event),
            events::add,
            DispatchEvent.Tick::new,
            Duration.ofHours(1),
            () -> MonotonicTime.ORIGIN,
            failure -> {});
    duty.start();
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    new CallerServer(dialect, executor, () -> RequestLimits.INITIAL, eventLoops)
        .open(new Endpoint("127.0.0.1", port));
  }

  @AfterEach
  void stop() {
    lines.close();
    duty.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private <T extends DispatchEvent> T next(Class<T> type) throws InterruptedException {
    while (true) {
      DispatchEvent event = events.poll(20, TimeUnit.SECONDS);
      if (event == null) {
        throw new AssertionError("no " + type.getSimpleName());
      }
      if (type.isInstance(event)) {
        return type.cast(event);
      }
    }
  }

  private Socket request(String path) throws IOException {
    return request(path, "r");
  }

  private Socket request(String path, String identifier) throws IOException {
    Socket caller = new Socket(InetAddress.getLoopbackAddress(), port);
    caller.setSoTimeout(20_000);
    write(
        caller.getOutputStream(),
        "GET " + path + " HTTP/1.1\r\nHost: host\r\nId: " + identifier + "\r\n\r\n");
    return caller;
  }

  private static void write(OutputStream output, String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads until the text, or until the host closes the connection. */
  private static String readUntil(Socket caller, String text) throws IOException {
    StringBuilder received = new StringBuilder();
    while (received.indexOf(text) < 0) {
      int next = caller.getInputStream().read();
      if (next < 0) {
        return received.append("<closed>").toString();
      }
      received.append((char) next);
    }
    return received.toString();
  }

  private ServingRequest send(int serverPort) throws InterruptedException {
    ServingRequest request = next(DispatchEvent.Received.class).request();
    Instance server =
        new Instance(
            "server",
            1,
            "service",
            new Endpoint("127.0.0.1", serverPort),
            new FailureDomainName("near"),
            8,
            false,
            Set.of(),
            Map.of(),
            1);
    executor.accept(
        new DispatchEffect.Send(
            request, 1, server, Duration.ofSeconds(10), 5, Optional.empty(), true, true, 0, ""));
    return request;
  }

  private void awaitEffects() throws Exception {
    eventLoops.submit(() -> {}).get(20, TimeUnit.SECONDS);
  }

  private List<String> logged(String event) {
    return lines.of("r").stream().filter(line -> line.contains(" event=" + event + " ")).toList();
  }

  private void assertBrokenOff(int count) {
    String metric = "parsleyhead_broken_off_total " + count;
    assertTrue(
        count == 0
            ? !metrics.render().contains("parsleyhead_broken_off_total ")
                || metrics.render().contains(metric)
            : metrics.render().contains(metric),
        metrics.render());
  }

  @Test
  @DisplayName("breaks an answer off that has begun in place of refusing its request")
  void breaksBegunAnswerOff() throws Exception {
    try (FakeRawServer server =
            new FakeRawServer((identifier, output) -> write(output, HEAD + EVENT));
        Socket caller = request("/stream")) {
      ServingRequest request = send(server.port());
      next(DispatchEvent.ResponseStarted.class);
      executor.accept(new DispatchEffect.Refuse(request, REFUSAL, "left_ms=1"));
      String received = readUntil(caller, END);
      assertTrue(received.contains(EVENT) && received.endsWith("<closed>"), received);
      awaitEffects();
      assertEquals(1, logged("broken_off").size());
      assertTrue(logged("broken_off").get(0).contains("reason=UPSTREAM_FAILED"));
      assertEquals(List.of(), logged("refused"));
      assertBrokenOff(1);
    }
  }

  @Test
  @DisplayName("ends an answer that has begun at its deadline, on both sides")
  void endsBegunAnswerAtDeadline() throws Exception {
    try (FakeRawServer server =
            new FakeRawServer((identifier, output) -> write(output, HEAD + EVENT));
        Socket caller = request("/stream")) {
      ServingRequest request = send(server.port());
      next(DispatchEvent.ResponseStarted.class);
      executor.accept(new DispatchEffect.CancelAttempt(request, 1, "deadline"));
      executor.accept(new DispatchEffect.Abort(request, "TIMED_OUT", "left_ms=0"));
      assertTrue(readUntil(caller, END).endsWith("<closed>"));
      while (server.endedConnections() == 0) {
        Thread.sleep(10);
      }
      awaitEffects();
      assertEquals(1, logged("send_cancelled").size());
      assertEquals(1, logged("broken_off").size());
      assertBrokenOff(1);
    }
  }

  @Test
  @DisplayName("leaves an answer alone that was complete as its deadline passed")
  void leavesCompleteAnswerAlone() throws Exception {
    for (int kind = 0; kind < 3; kind++) {
      try (FakeRawServer server =
              new FakeRawServer((identifier, output) -> write(output, HEAD + EVENT + END));
          Socket caller = request("/stream")) {
        ServingRequest request = send(server.port());
        next(DispatchEvent.AttemptEnded.class);
        executor.accept(new DispatchEffect.CancelAttempt(request, 1, "deadline"));
        executor.accept(
            switch (kind) {
              case 0 -> new DispatchEffect.Refuse(request, REFUSAL, "");
              case 1 -> new DispatchEffect.Abort(request, "TIMED_OUT", "");
              default -> new DispatchEffect.DeliverBufferedResponse(request, 500);
            });
        assertTrue(readUntil(caller, END).endsWith(END));
        awaitEffects();
        assertEquals(kind + 1, logged("already_answered").size(), lines.of("r")::toString);
        for (String end : List.of("broken_off", "refused", "failure_delivered", "send_cancelled")) {
          assertEquals(List.of(), logged(end));
        }
        assertBrokenOff(0);
      }
    }
  }

  @Test
  @DisplayName("counts no answer as broken off whose caller has left")
  void countsNoCallerWhoLeft() throws Exception {
    try (FakeRawServer server =
        new FakeRawServer((identifier, output) -> write(output, HEAD + EVENT))) {
      ServingRequest request;
      try (Socket caller = request("/stream")) {
        request = send(server.port());
        assertTrue(readUntil(caller, EVENT).endsWith(EVENT));
      }
      next(DispatchEvent.CallerDisconnected.class);
      executor.accept(new DispatchEffect.Abort(request, "TIMED_OUT", ""));
      awaitEffects();
      assertEquals(1, logged("caller_left").size(), lines.of("r")::toString);
      assertEquals(List.of(), logged("broken_off"));
      assertBrokenOff(0);
    }
  }

  @Test
  @DisplayName("logs how long a server took no connection, which reaches no server's log")
  void logsConnectTimeout() throws Exception {
    try (FullBacklog server = new FullBacklog();
        Socket caller = request("/stream", "unanswered")) {
      send(server.port());
      next(DispatchEvent.AttemptEnded.class);
      assertTrue(caller.isConnected());
      List<String> logged = lines.of("unanswered");
      String line = logged.get(logged.size() - 1);
      assertTrue(
          line.matches(
              ".*event=send_ended .*outcome=NOT_SENT .*reason=\"connect: .*\".*"
                  + " elapsed_ms=[0-9]+.*"),
          line);
    }
  }
}
