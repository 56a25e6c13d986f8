package org.parsleyhead.gateway.upstreams;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.instance.Instance;

/**
 * A pool of idle connections to instances.
 *
 * <p>Confined to the event loop. The most recently used connection is acquired first, so that few
 * stay open. A connection belongs to one run of an instance.
 */
final class IdleConnectionPool {

  /**
   * The maximum number of idle connections to one instance; servers accept a limited number of
   * connections from all hosts together.
   */
  private static final int MAXIMUM_IDLE_PER_INSTANCE = 6;

  /**
   * The fraction of the keep-alive timeout of a server after which a connection is no longer used.
   */
  private static final double USABLE_FRACTION = 0.6;

  private final Map<String, Deque<IdleConnection>> byInstance = new HashMap<>();

  /**
   * Acquires the most recently used connection unless it has been idle for too long or was last
   * used by the same request: a late copy of the first response could not be told from the second.
   */
  Optional<UpstreamConnection> acquire(Instance instance, String request, Duration maximumIdle) {
    Deque<IdleConnection> connections = byInstance.get(key(instance));
    if (connections == null) {
      return Optional.empty();
    }
    long now = System.nanoTime();
    while (!connections.isEmpty()) {
      IdleConnection connection = connections.peekLast();
      boolean usable = connection.isActive() && now < connection.usableUntil();
      boolean suitable =
          now - connection.idleSince() <= maximumIdle.toNanos()
              && !connection.lastRequest().equals(request);
      if (usable && !suitable) {
        return Optional.empty();
      }
      connections.pollLast();
      if (usable) {
        return Optional.of(connection.connection());
      }
      connection.close();
    }
    byInstance.remove(key(instance));
    return Optional.empty();
  }

  /**
   * Makes a connection available to later requests.
   *
   * @param lastRequest the identifier of the request that used it last
   */
  void release(
      Instance instance,
      UpstreamConnection connection,
      String lastRequest,
      Duration keepAliveTimeout) {
    Deque<IdleConnection> connections =
        byInstance.computeIfAbsent(key(instance), key -> new ArrayDeque<>());
    long now = System.nanoTime();
    long usableNanoseconds = (long) (keepAliveTimeout.toNanos() * USABLE_FRACTION);
    connections.addLast(new IdleConnection(connection, lastRequest, now, now + usableNanoseconds));
    if (connections.size() > MAXIMUM_IDLE_PER_INSTANCE) {
      connections.pollFirst().close();
    }
  }

  /** Removes a closed connection. */
  void remove(Instance instance, UpstreamConnection closed) {
    Deque<IdleConnection> connections = byInstance.get(key(instance));
    if (connections != null) {
      connections.removeIf(idle -> idle.connection() == closed);
      if (connections.isEmpty()) {
        byInstance.remove(key(instance));
      }
    }
  }

  private static String key(Instance instance) {
    return instance.identifier()
        + "@"
        + instance.endpoint()
        + "@"
        + instance.startedAtMilliseconds();
  }

  /**
   * An idle connection.
   *
   * @param connection the connection
   * @param lastRequest the identifier of the request that used it last
   * @param idleSince when it was released, by {@link System#nanoTime()}
   * @param usableUntil when it is no longer used, by {@link System#nanoTime()}
   */
  private record IdleConnection(
      UpstreamConnection connection, String lastRequest, long idleSince, long usableUntil) {

    boolean isActive() {
      return connection.channel().isActive();
    }

    void close() {
      connection.channel().close();
    }
  }
}
