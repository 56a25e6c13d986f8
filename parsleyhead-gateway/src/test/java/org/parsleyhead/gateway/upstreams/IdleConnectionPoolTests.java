package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import org.parsleyhead.core.instance.Instance;

@DisplayName("A pool of idle connections")
class IdleConnectionPoolTests {

  private static final Duration LONG = Duration.ofHours(1);

  private final Instance instance =
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
          1);
  private final IdleConnectionPool pool = new IdleConnectionPool();

  private UpstreamConnection released(int number, String... requests) {
    UpstreamConnection connection = new UpstreamConnection(new EmbeddedChannel(), number);
    for (String request : requests) {
      connection.requestWritten(request);
    }
    pool.release(instance, connection, LONG);
    return connection;
  }

  @Test
  @DisplayName("never returns a connection that has carried the request, however long ago")
  void skipsCarriers() {
    released(1, "x", "y", "z");
    assertEquals(Optional.empty(), pool.acquire(instance, "x", LONG));
  }

  @Test
  @DisplayName("returns an older connection if the newer one has carried the request")
  void returnsOlderConnection() {
    UpstreamConnection older = released(1, "y");
    UpstreamConnection newer = released(2, "x", "y");
    assertEquals(Optional.of(older), pool.acquire(instance, "x", LONG));
    assertEquals(Optional.of(newer), pool.acquire(instance, "z", LONG));
  }

  @Test
  @DisplayName("still knows what a connection has carried after it was given back unused")
  void remembersAcrossUnusedRelease() {
    released(1, "x");
    UpstreamConnection acquired = pool.acquire(instance, "y", LONG).orElseThrow();
    pool.release(instance, acquired, LONG);
    assertEquals(Optional.empty(), pool.acquire(instance, "x", LONG));
  }

  @Test
  @DisplayName("closes a connection that has carried as many requests as are remembered")
  void closesExhaustedConnection() {
    UpstreamConnection connection = new UpstreamConnection(new EmbeddedChannel(), 1);
    for (int index = 0; index < UpstreamConnection.MAXIMUM_REQUESTS; index++) {
      assertTrue(connection.maySend("request-" + index));
      connection.requestWritten("request-" + index);
      assertFalse(connection.maySend("request-" + index));
    }
    pool.release(instance, connection, LONG);
    assertFalse(connection.channel().isOpen());
    assertEquals(Optional.empty(), pool.acquire(instance, "new", LONG));
  }
}
