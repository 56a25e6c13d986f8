package org.parsleyhead.core.ticket;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.HostList;

/**
 * Simulates the configuration of a fleet of hosts, with a virtual clock, a lossy network and a fake
 * configuration service. Checks after each event that no item reverts and that tickets are visible
 * as a whole. Not thread-safe.
 */
final class FakeConfigurationFleet {

  private static final int DOMAINS = 3;
  private static final int ACCOUNTS = 20;
  private static final long MILLISECOND = 1_000_000;

  private final Random random;
  private final Catalogue emptyCatalogue;
  private final PriorityQueue<Scheduled> schedule =
      new PriorityQueue<>(Comparator.comparingLong(Scheduled::at).thenComparing(Scheduled::order));
  private final List<Host> hosts = new ArrayList<>();
  private final Map<Long, Ticket> tickets = new TreeMap<>();
  private final Set<HostName> isolatedHosts = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private double lossRate;
  private boolean serviceAvailable = true;
  private long serviceLagTickets;
  private double absenceRate;
  private long now;
  private long order;
  private long reads;

  FakeConfigurationFleet(long seed, int size, MergeRule rule) {
    this.random = new Random(seed);
    this.emptyCatalogue = Catalogue.empty(rule);
    for (int index = 0; index < size; index++) {
      hosts.add(new Host(name(index), index));
    }
    hosts.forEach(Host::start);
  }

  static HostName name(int index) {
    return new HostName("host-" + index);
  }

  void run(Duration duration) {
    long end = now + duration.toNanos();
    while (!schedule.isEmpty() && schedule.peek().at() <= end) {
      Scheduled next = schedule.poll();
      now = next.at();
      next.action().run();
    }
    now = end;
  }

  /** Publishes a ticket that changes or deletes a few client accounts. */
  void publish() {
    long number = tickets.size() + 1;
    Map<ItemKey, Change> changes = new TreeMap<>();
    for (int count = 1 + random.nextInt(4); count > 0; count--) {
      ClientAccountItem account =
          new ClientAccountItem(
              new ClientAccountName("account-" + random.nextInt(ACCOUNTS)), number, number);
      Change change = random.nextInt(4) == 0 ? Change.delete(account.key()) : Change.put(account);
      changes.put(account.key(), change);
    }
    tickets.put(number, new Ticket(new TicketNumber(number), List.copyOf(changes.values())));
  }

  void setFaults(double loss, double absence) {
    this.lossRate = loss;
    this.absenceRate = absence;
  }

  void setService(boolean available, long lagTickets) {
    this.serviceAvailable = available;
    this.serviceLagTickets = lagTickets;
  }

  void isolate(HostName host) {
    isolatedHosts.add(host);
  }

  void clearFaults() {
    isolatedHosts.clear();
    setFaults(0, 0);
    setService(true, 0);
  }

  void restart(HostName name) {
    hosts.stream().filter(host -> host.name.equals(name)).forEach(Host::start);
  }

  Host host(int index) {
    return hosts.get(index);
  }

  List<String> violations() {
    return violations;
  }

  long reads() {
    return reads;
  }

  long now() {
    return now;
  }

  int published() {
    return tickets.size();
  }

  Random random() {
    return random;
  }

  /** Returns the hosts whose catalogue differs from the merge of all published tickets. */
  List<HostName> divergedHosts() {
    Catalogue expected = Catalogue.empty();
    for (Ticket ticket : tickets.values()) {
      expected = expected.merge(ticket);
    }
    Map<ItemKey, VersionedItem> items = expected.items();
    return hosts.stream()
        .filter(host -> !host.state.catalogue().items().equals(items))
        .map(host -> host.name)
        .toList();
  }

  private HostList hostList() {
    List<HostEntry> entries =
        hosts.stream()
            .map(
                host ->
                    new HostEntry(
                        host.name,
                        new Endpoint("127.0.0.1", 1),
                        new RegionName("region"),
                        host.settings.failureDomain(),
                        "cell",
                        false))
            .toList();
    return new HostList(1, entries, Set.of());
  }

  private void scheduleAt(long time, Runnable action) {
    schedule.add(new Scheduled(time, order++, action));
  }

  private long randomMilliseconds(int bound) {
    return random.nextInt(bound) * MILLISECOND;
  }

  private record Scheduled(long at, long order, Runnable action) {}

  /** A simulated host. */
  final class Host {
    private final HostName name;
    private final ConfigurationSettings settings;
    private final ConfigurationTransition configuration;
    private ConfigurationState state;
    private long incarnation;
    private long readyAt = -1;

    Host(HostName name, int index) {
      this.name = name;
      this.settings =
          ConfigurationSettings.of(name, new FailureDomainName("domain-" + index % DOMAINS));
      this.configuration = new ConfigurationTransition(settings);
    }

    ConfigurationState state() {
      return state;
    }

    long readyAt() {
      return readyAt;
    }

    void start() {
      incarnation++;
      readyAt = -1;
      state = ConfigurationState.initial(new MonotonicTime(now), emptyCatalogue);
      Set<HostName> alive = hosts.stream().map(host -> host.name).collect(Collectors.toSet());
      apply(new ConfigurationEvent.HostsChanged(hostList(), alive));
      scheduleTick(incarnation);
    }

    private void scheduleTick(long expectedIncarnation) {
      scheduleAt(
          now + (100 + random.nextInt(300)) * MILLISECOND,
          () -> {
            if (incarnation == expectedIncarnation) {
              apply(new ConfigurationEvent.Tick(random.nextLong()));
              scheduleTick(expectedIncarnation);
            }
          });
    }

    private void apply(ConfigurationEvent event) {
      Catalogue before = state.catalogue();
      Step<ConfigurationState, ConfigurationEffect> step =
          configuration.apply(state, event, new MonotonicTime(now));
      state = step.state();
      checkInvariants(before, state.catalogue());
      step.effects().forEach(this::execute);
    }

    private void checkInvariants(Catalogue before, Catalogue after) {
      before
          .items()
          .forEach(
              (key, item) -> {
                if (item.number().supersedes(after.items().get(key).number())) {
                  violations.add(name + " reverted " + key);
                }
              });
      if (before != after) {
        tickets.values().forEach(ticket -> checkAtomicity(ticket, after));
      }
    }

    private void checkAtomicity(Ticket ticket, Catalogue catalogue) {
      long visible =
          ticket.changes().stream()
              .map(change -> catalogue.items().get(change.key()))
              .filter(item -> item != null && !ticket.number().supersedes(item.number()))
              .count();
      boolean shown =
          ticket.changes().stream()
              .map(change -> catalogue.items().get(change.key()))
              .anyMatch(item -> item != null && item.number().equals(ticket.number()));
      if (shown && visible < ticket.changes().size()) {
        violations.add(name + " exposes a part of ticket " + ticket.number());
      }
    }

    private void execute(ConfigurationEffect effect) {
      if (effect instanceof ConfigurationEffect.Send send) {
        send(send);
      } else if (effect instanceof ConfigurationEffect.Read read) {
        reads++;
        long expectedIncarnation = incarnation;
        scheduleAt(now + randomMilliseconds(40), () -> answer(read.read(), expectedIncarnation));
      } else if (effect instanceof ConfigurationEffect.BecameReady) {
        readyAt = now;
      }
    }

    private void send(ConfigurationEffect.Send send) {
      if (random.nextDouble() < lossRate) {
        return;
      }
      var event =
          new ConfigurationEvent.MessageReceived(
              new Sender(name, new Incarnation(incarnation)), send.message());
      scheduleAt(
          now + randomMilliseconds(200),
          () -> {
            if (!isolatedHosts.contains(name) && !isolatedHosts.contains(send.host())) {
              hosts.stream()
                  .filter(host -> host.name.equals(send.host()))
                  .forEach(host -> host.apply(event));
            }
          });
    }

    private void answer(ServiceRead read, long expectedIncarnation) {
      if (incarnation != expectedIncarnation) {
        return;
      }
      if (!serviceAvailable || isolatedHosts.contains(name)) {
        apply(new ConfigurationEvent.ReadFailed(read));
        return;
      }
      long latest = Math.max(0, tickets.size() - serviceLagTickets);
      if (read instanceof ServiceRead.WatchLatest watch) {
        answerWatch(watch, latest, expectedIncarnation, now + watch.timeout().toNanos());
      } else if (read instanceof ServiceRead.TicketHead head) {
        apply(readTicket(head, latest).orElse(new ConfigurationEvent.ReadAbsent(read)));
      } else if (read instanceof ServiceRead.TicketPart part) {
        apply(readTicketPart(part));
      } else if (read instanceof ServiceRead.SnapshotHead) {
        boolean published = latest >= 10;
        apply(
            published
                ? new ConfigurationEvent.SnapshotHeadRead(new TicketNumber(latest - latest % 10), 2)
                : new ConfigurationEvent.ReadAbsent(read));
      } else if (read instanceof ServiceRead.SnapshotPart part) {
        apply(
            new ConfigurationEvent.SnapshotPartRead(
                part.number(), part.part(), readSnapshotPart(part)));
      }
    }

    private void answerWatch(
        ServiceRead.WatchLatest watch, long latest, long expectedIncarnation, long end) {
      if (incarnation != expectedIncarnation) {
        return;
      }
      if (latest > watch.revision()) {
        apply(new ConfigurationEvent.LatestRead(new TicketNumber(latest), latest));
      } else if (now >= end) {
        apply(new ConfigurationEvent.LatestUnchanged());
      } else {
        scheduleAt(
            now + 50 * MILLISECOND,
            () ->
                answerWatch(
                    watch,
                    Math.max(0, tickets.size() - serviceLagTickets),
                    expectedIncarnation,
                    end));
      }
    }

    private Optional<ConfigurationEvent> readTicket(ServiceRead.TicketHead head, long latest) {
      Ticket ticket = tickets.get(head.number().value());
      if (ticket == null || head.number().value() > latest || random.nextDouble() < absenceRate) {
        return Optional.empty();
      }
      return Optional.of(
          ticket.changes().size() > 2
              ? new ConfigurationEvent.TicketSplit(ticket.number(), 2)
              : new ConfigurationEvent.FragmentRead(TicketFragment.whole(ticket)));
    }

    private ConfigurationEvent readTicketPart(ServiceRead.TicketPart part) {
      if (random.nextDouble() < absenceRate) {
        return new ConfigurationEvent.ReadAbsent(part);
      }
      List<Change> changes = tickets.get(part.number().value()).changes();
      List<Change> half =
          part.part() == 1 ? changes.subList(0, 2) : changes.subList(2, changes.size());
      return new ConfigurationEvent.FragmentRead(
          new TicketFragment(part.number(), part.part(), part.parts(), half));
    }

    private List<CatalogueEntry> readSnapshotPart(ServiceRead.SnapshotPart part) {
      Catalogue catalogue = Catalogue.empty();
      for (long number = 1; number <= part.number().value(); number++) {
        catalogue = catalogue.merge(tickets.get(number));
      }
      List<CatalogueEntry> items = new ArrayList<>();
      catalogue.items().forEach((key, item) -> items.add(new CatalogueEntry(key, item)));
      return IntStream.range(0, items.size())
          .filter(index -> index % 2 == part.part() - 1)
          .mapToObj(items::get)
          .toList();
    }
  }
}
