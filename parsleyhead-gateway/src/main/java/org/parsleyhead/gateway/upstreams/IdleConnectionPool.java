package org.parsleyhead.gateway.upstreams;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.instance.Instance;

/**
 * Connections that wait for the next request.
 *
 * <p>Confined to the event loop. The connection that was used last is taken first, so that few stay
 * open. A connection belongs to one run of an instance.
 */
final class IdleConnectionPool {

  /** Idle connections to one instance; servers accept a bounded number from all hosts. */
  private static final int MAX_IDLE_PER_INSTANCE = 6;

  /** Part of the time that a server announces after which a connection is not used any more. */
  private static final double USABLE_FRACTION = 0.6;

  private final Map<String, Deque<IdleConnection>> byInstance = new HashMap<>();

  /** Takes a connection that has not been idle for too long. */
  Optional<Channel> acquire(Instance instance, Duration longestIdle) {
    Deque<IdleConnection> connections = byInstance.get(key(instance));
    if (connections == null) {
      return Optional.empty();
    }
    long now = System.nanoTime();
    while (!connections.isEmpty()) {
      IdleConnection connection = connections.peekLast();
      boolean usable = connection.channel().isActive() && now < connection.usableUntil();
      if (usable && now - connection.idleSince() > longestIdle.toNanos()) {
        return Optional.empty();
      }
      connections.pollLast();
      if (usable) {
        return Optional.of(connection.channel());
      }
      connection.channel().close();
    }
    byInstance.remove(key(instance));
    return Optional.empty();
  }

  /** Keeps a connection for the next request. */
  void release(Instance instance, Channel channel, Duration idleLimit) {
    Deque<IdleConnection> connections =
        byInstance.computeIfAbsent(key(instance), key -> new ArrayDeque<>());
    long now = System.nanoTime();
    long usable = (long) (idleLimit.toNanos() * USABLE_FRACTION);
    connections.addLast(new IdleConnection(channel, now, now + usable));
    if (connections.size() > MAX_IDLE_PER_INSTANCE) {
      connections.pollFirst().channel().close();
    }
  }

  /** Forgets a connection that was closed. */
  void remove(Instance instance, Channel channel) {
    Deque<IdleConnection> connections = byInstance.get(key(instance));
    if (connections != null) {
      connections.removeIf(connection -> connection.channel() == channel);
      if (connections.isEmpty()) {
        byInstance.remove(key(instance));
      }
    }
  }

  private static String key(Instance instance) {
    return instance.identifier() + "@" + instance.endpoint() + "@" + instance.startedAtMillis();
  }

  /** A connection with the time since which it has been idle, in nanoseconds. */
  private record IdleConnection(Channel channel, long idleSince, long usableUntil) {}
}
