package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;

@DisplayName("A cold server that many hosts would like to use")
class ColdFleetTests {

  private static final double RATE = 7.2;
  private static final int HOSTS = 11;
  private static final Duration STEP = Duration.ofMillis(10);
  private static final MonotonicTime START = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(100));
  private static final List<String> NAMES =
      IntStream.range(0, HOSTS).mapToObj(host -> "h" + host).toList();

  /** A host that receives a request for its only server, a cold one, in every step. */
  private static final class Host {

    private final String name;
    private final DispatchTransition transition;
    private DispatchState state = DispatchState.initial(START);
    private long lastKey;

    Host(String name) {
      this.name = name;
      this.transition = new DispatchTransition(DispatchFixture.settings(name));
      apply(new DispatchEvent.CatalogueChanged(catalogue()), START);
      apply(new DispatchEvent.LiveHostsChanged(NAMES, HOSTS), START);
      apply(new DispatchEvent.InstancesAnnounced(List.of(server())), START);
    }

    List<DispatchEffect> apply(DispatchEvent event, MonotonicTime time) {
      var step = transition.apply(state, event, time);
      state = step.state();
      return step.effects();
    }

    boolean sends(MonotonicTime time) {
      ServingRequest request =
          new ServingRequest(
              ++lastKey,
              name + lastKey,
              DispatchFixture.HOST,
              "/read/x",
              Optional.of(DispatchFixture.KEY),
              Optional.of(Duration.ofMillis(20)),
              Optional.empty());
      return apply(new DispatchEvent.Received(request), time).stream()
          .anyMatch(DispatchEffect.Send.class::isInstance);
    }

    private static ServiceCatalogue catalogue() {
      return new ServiceCatalogue(
          1,
          DispatchFixture.routes(),
          List.of(
              new ServiceDefinition("plain", 10, Optional.empty(), Duration.ofSeconds(60), RATE)),
          RequestLimits.INITIAL,
          List.of(DispatchFixture.account(0)));
    }

    private static Instance server() {
      return new Instance(
          "p1",
          1,
          "plain",
          Endpoint.parse("10.0.0.1:80"),
          DispatchFixture.NEAR,
          8,
          false,
          Set.of(),
          Map.of(),
          1,
          Duration.ofSeconds(60));
    }
  }

  /** Runs all hosts for a time and records their sends. */
  private static void run(
      Collection<Host> hosts, MonotonicTime from, MonotonicTime to, List<MonotonicTime> sends) {
    for (MonotonicTime time = from; time.isBefore(to); time = time.plus(STEP)) {
      for (Host host : hosts) {
        if (host.sends(time)) {
          sends.add(time);
        }
      }
    }
  }

  private static long mostInOneSecond(List<MonotonicTime> sends) {
    return sends.stream()
        .mapToLong(
            from ->
                sends.stream()
                    .filter(
                        send ->
                            !send.isBefore(from) && send.isBefore(from.plus(Duration.ofSeconds(1))))
                    .count())
        .max()
        .orElse(0);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  @DisplayName("gets at most its rate in any second, also while hosts end or are cut off")
  void limitsSum(long seed) {
    final Random random = new Random(seed);
    List<Host> hosts = new ArrayList<>(NAMES.stream().map(Host::new).toList());
    List<MonotonicTime> sends = new ArrayList<>();
    run(hosts, START, START.plus(Duration.ofSeconds(5)), sends);
    assertTrue(sends.size() >= 0.6 * RATE * 3, "the server is used after the start-up period");

    // One host with a share ends; the others learn of it at different times within half a second.
    List<String> order = Rendezvous.order("p1", NAMES);
    hosts.removeIf(host -> host.name.equals(order.get(0)));
    List<String> live = hosts.stream().map(host -> host.name).toList();
    MonotonicTime lost = START.plus(Duration.ofSeconds(6));
    learn(hosts, live, HOSTS, lost, random, sends);

    // The other one is cut off with two more hosts.
    Set<String> cutOff = Set.of(order.get(1), order.get(9), order.get(10));
    List<Host> minority = hosts.stream().filter(host -> cutOff.contains(host.name)).toList();
    List<Host> majority = hosts.stream().filter(host -> !cutOff.contains(host.name)).toList();
    MonotonicTime cut = START.plus(Duration.ofSeconds(12));
    run(hosts, START.plus(Duration.ofSeconds(8)), cut, sends);
    learnAll(Map.of(0, minority, 1, majority), cut, random, sends);
    run(hosts, cut.plus(Duration.ofSeconds(2)), cut.plus(Duration.ofSeconds(6)), sends);

    // The network heals.
    learn(hosts, live, HOSTS, cut.plus(Duration.ofSeconds(6)), random, sends);
    run(hosts, cut.plus(Duration.ofSeconds(8)), cut.plus(Duration.ofSeconds(12)), sends);

    sends.sort(Comparator.comparing(MonotonicTime::nanoseconds));
    assertTrue(mostInOneSecond(sends) <= RATE, mostInOneSecond(sends) + " in one second");
  }

  /** Tells all hosts the live hosts, each at its own time, while requests go on for two seconds. */
  private static void learn(
      List<Host> hosts,
      List<String> live,
      int known,
      MonotonicTime from,
      Random random,
      List<MonotonicTime> sends) {
    Map<Host, Integer> learnedAt =
        hosts.stream().collect(Collectors.toMap(host -> host, host -> random.nextInt(50)));
    for (int step = 0; step < 200; step++) {
      MonotonicTime time = from.plus(STEP.multipliedBy(step));
      for (Host host : hosts) {
        if (learnedAt.get(host) == step) {
          host.apply(new DispatchEvent.LiveHostsChanged(live, known), time);
        }
      }
      run(hosts, time, time.plus(STEP), sends);
    }
  }

  private static void learnAll(
      Map<Integer, List<Host>> sides,
      MonotonicTime from,
      Random random,
      List<MonotonicTime> sends) {
    for (List<Host> side : sides.values()) {
      learn(side, side.stream().map(host -> host.name).toList(), HOSTS, from, random, sends);
    }
  }
}
