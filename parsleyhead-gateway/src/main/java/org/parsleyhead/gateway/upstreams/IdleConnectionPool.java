package org.parsleyhead.gateway.upstreams;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
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
   * Acquires the most recently used connection that may carry the request and has not been idle for
   * too long; closes those that can no longer be used.
   *
   * @param request the identifier of the request
   */
  Optional<UpstreamConnection> acquire(Instance instance, String request, Duration maximumIdle) {
    Deque<IdleConnection> connections = byInstance.getOrDefault(key(instance), new ArrayDeque<>());
    long now = System.nanoTime();
    closeUnusable(connections, now);
    Iterator<IdleConnection> mostRecentFirst = connections.descendingIterator();
    while (mostRecentFirst.hasNext()) {
      IdleConnection idle = mostRecentFirst.next();
      if (now - idle.idleSince() > maximumIdle.toNanos()) {
        return Optional.empty();
      }
      if (idle.connection().maySend(request)) {
        mostRecentFirst.remove();
        return Optional.of(idle.connection());
      }
    }
    return Optional.empty();
  }

  private static void closeUnusable(Deque<IdleConnection> connections, long now) {
    List<IdleConnection> unusable =
        connections.stream().filter(idle -> !idle.usableAt(now)).toList();
    connections.removeAll(unusable);
    unusable.forEach(IdleConnection::close);
  }

  /** Makes a connection available to later requests; one that must carry no more is closed. */
  void release(Instance instance, UpstreamConnection connection, Duration keepAliveTimeout) {
    if (connection.exhausted() || !connection.channel().isActive()) {
      connection.channel().close();
      return;
    }
    Deque<IdleConnection> connections =
        byInstance.computeIfAbsent(key(instance), key -> new ArrayDeque<>());
    long now = System.nanoTime();
    long usableNanoseconds = (long) (keepAliveTimeout.toNanos() * USABLE_FRACTION);
    connections.addLast(new IdleConnection(connection, now, now + usableNanoseconds));
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
   * @param idleSince when it was released, by {@link System#nanoTime()}
   * @param usableUntil when it is no longer used, by {@link System#nanoTime()}
   */
  private record IdleConnection(UpstreamConnection connection, long idleSince, long usableUntil) {

    boolean usableAt(long now) {
      return connection.channel().isActive() && now < usableUntil;
    }

    void close() {
      connection.channel().close();
    }
  }
}
