package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.ServingRequest;
import org.parsleyhead.core.instance.Instance;

@DisplayName("A stream of events")
class EventStreamTests {

  private static final DispatchEffect.Send SEND =
      new DispatchEffect.Send(
          new ServingRequest(
              1, "r", "host", "/", Optional.empty(), Optional.empty(), Optional.empty()),
          2,
          new Instance(
              "server",
              1,
              "service",
              new Endpoint("127.0.0.1", 1),
              new FailureDomainName("near"),
              8,
              false,
              Set.of(),
              Map.of(),
              1),
          Duration.ofSeconds(10),
          5,
          Optional.empty(),
          true,
          true,
          0,
          "");

  private final EmbeddedChannel server = new EmbeddedChannel();
  private final EventStream stream = new EventStream(() -> {}, () -> {}, new AttemptLog(SEND));

  /** A resumed stream may wait for memory within its first event. */
  @Test
  @DisplayName("is not taken for silent while it waits for memory, since nothing is read")
  void isNotSilentWithoutMemory() {
    stream.connected(server);
    assertTrue(stream.awaitsFirstEvent());
    stream.pauseForMemory();
    assertFalse(stream.awaitsFirstEvent());
    assertFalse(server.config().isAutoRead());
    stream.resumeForMemory();
    assertTrue(stream.awaitsFirstEvent());
    assertTrue(server.config().isAutoRead());
  }

  @Test
  @DisplayName("leaves its connection alone once it has stopped, since another request may use it")
  void leavesConnectionAlone() {
    stream.connected(server);
    stream.stop();
    stream.pauseForMemory();
    assertTrue(server.config().isAutoRead());
  }
}
