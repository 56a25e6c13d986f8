package org.parsleyhead.gateway.process;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.dispatch.DispatchSettings;
import org.parsleyhead.core.dispatch.DispatchState;
import org.parsleyhead.core.dispatch.DispatchTransition;
import org.parsleyhead.core.dispatch.FailureIsolation;
import org.parsleyhead.core.dispatch.ServingRequest;
import org.parsleyhead.core.fleet.FleetEvent;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.overload.SpreadRetryAfter;
import org.parsleyhead.core.overload.WaitPolicy;
import org.parsleyhead.core.placement.PlacementSettings;
import org.parsleyhead.core.quarantine.TrialRight;
import org.parsleyhead.core.serving.AccountLimits;
import org.parsleyhead.core.serving.RequestKind;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;
import org.parsleyhead.core.serving.ServiceRoute;
import org.parsleyhead.core.serving.WeightedService;
import org.parsleyhead.gateway.callers.CallerServer;
import org.parsleyhead.gateway.upstreams.UpstreamClient;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.duty.Ring;

/**
 * A host with the real dispatch duty between sockets of callers and servers, without other hosts.
 *
 * <p>Thread-safe. Plain requests with {@code /read} may be repeated, those with {@code /book} not;
 * streams with {@code /stream} are resumable, those with {@code /once} are not. Records the ends of
 * requests that the duty decided on.
 */
final class DispatchingHost implements AutoCloseable {

  /** The runs that the route of a repeatable request allows. */
  static final int RUNS = 2;

  private static final int RING_CAPACITY = 256;
  private static final int SERVER_CONNECTIONS = 100;
  private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(10);

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("test-sockets", true), NioIoHandler.newFactory());
  private final Duty<DispatchState, DispatchEvent, DispatchEffect> dispatch;
  private final Map<String, List<String>> ends = new ConcurrentHashMap<>();
  private final EventSender<DispatchEvent> events;
  private final int port;

  /** Starts a host before servers with these ports, which the accounts with the keys may use. */
  DispatchingHost(List<Integer> serverPorts, Set<String> keys) throws IOException {
    MonotonicClock clock = MonotonicClock.SYSTEM;
    EventLoop eventLoop = eventLoops.next();
    Ring<DispatchEvent> ring = new Ring<>("dispatch", RING_CAPACITY);
    LastEventDialect dialect = new LastEventDialect();
    this.events = new EventSender<>(ring, eventLoop);
    DispatchEffectExecutor executor =
        new DispatchEffectExecutor(
            eventLoop,
            dialect,
            new UpstreamClient(dialect, events::send, eventLoops),
            events,
            new Ring<FleetEvent>("fleet", RING_CAPACITY),
            new GatewayMetrics());
    this.dispatch =
        new Duty<>(
            ring,
            DispatchState.initial(clock.now()),
            new FailureIsolation(new DispatchTransition(settings())),
            recordingEnds(executor),
            DispatchEvent.Tick::new,
            Duration.ofMillis(200),
            clock,
            failure -> end("", "failed " + failure));
    dispatch.start();
    changeCatalogue(1, keys);
    events.send(new DispatchEvent.InstancesAnnounced(instances(serverPorts)));
    this.port = freePort();
    new CallerServer(dialect, executor, () -> RequestLimits.INITIAL, eventLoops)
        .open(new Endpoint("127.0.0.1", port));
  }

  int port() {
    return port;
  }

  /** Puts a catalogue with the accounts that hold these keys in force. */
  void changeCatalogue(long version, Set<String> keys) {
    List<AccountLimits> accounts =
        keys.stream()
            .map(
                key ->
                    new AccountLimits(
                        new ClientAccountName("account-" + key),
                        Set.of(key),
                        OptionalInt.empty(),
                        false,
                        1,
                        0,
                        0))
            .toList();
    events.send(
        new DispatchEvent.CatalogueChanged(
            new ServiceCatalogue(
                version,
                List.of(
                    route("/read", RequestKind.IDEMPOTENT, RUNS),
                    route("/book", RequestKind.NON_IDEMPOTENT, 1),
                    route("/stream", RequestKind.RESUMABLE_STREAM, RUNS),
                    route("/once", RequestKind.STREAM, 1)),
                List.of(new ServiceDefinition("service", SERVER_CONNECTIONS, Optional.empty())),
                RequestLimits.INITIAL,
                accounts)));
  }

  /** Returns how the duty ended a request; one entry if it ended once. */
  List<String> ends(String identifier) {
    return List.copyOf(ends.getOrDefault(identifier, List.of()));
  }

  /** Returns the number of requests that have not ended. */
  int activeRequests() {
    return dispatch.state().activeRequests();
  }

  /** Stops the duty, and returns once all its effects are executed. */
  void stopDuty() throws Exception {
    dispatch.close();
    eventLoops.submit(() -> {}).get(20, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    dispatch.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Consumer<DispatchEffect> recordingEnds(DispatchEffectExecutor executor) {
    return effect -> {
      if (effect instanceof DispatchEffect.Finished finished) {
        end(finished.request(), "finished");
      } else if (effect instanceof DispatchEffect.Refuse refuse) {
        end(refuse.request(), "refused " + refuse.refusal().code());
      } else if (effect instanceof DispatchEffect.Abort abort) {
        end(abort.request(), "aborted " + abort.reason());
      } else if (effect instanceof DispatchEffect.DeliverBufferedResponse deliver) {
        end(deliver.request(), "delivered " + deliver.status());
      } else if (effect instanceof DispatchEffect.EventFailed failed) {
        end("", "failed " + failed.failure());
      }
      executor.accept(effect);
    };
  }

  private void end(ServingRequest request, String end) {
    end(request.identifier(), end);
  }

  private void end(String identifier, String end) {
    ends.computeIfAbsent(identifier, key -> new CopyOnWriteArrayList<>()).add(end);
  }

  private static List<Instance> instances(List<Integer> ports) {
    return ports.stream()
        .map(
            port ->
                new Instance(
                    "server-" + port,
                    1,
                    "service",
                    new Endpoint("127.0.0.1", port),
                    new FailureDomainName("near"),
                    64,
                    false,
                    Set.of(),
                    Map.of(),
                    1))
        .toList();
  }

  private static ServiceRoute route(String prefix, RequestKind kind, int attempts) {
    return new ServiceRoute(
        prefix,
        LastEventDialect.HOST,
        prefix,
        kind,
        ROUTE_TIMEOUT,
        Duration.ofMillis(300),
        Duration.ofMillis(250),
        1,
        List.of(new WeightedService("service", 1)),
        attempts,
        false);
  }

  private static DispatchSettings settings() {
    return new DispatchSettings(
        new FailureDomainName("near"),
        38,
        Duration.ofMillis(250),
        Duration.ofMillis(25),
        Duration.ofMillis(1_500),
        0.2,
        100_000,
        Duration.ofSeconds(10),
        0.1,
        0,
        new SpreadRetryAfter(),
        WaitPolicy.upToFraction(0.7),
        TrialRight.inTurn("self"),
        new PlacementSettings("self", false));
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }
}
