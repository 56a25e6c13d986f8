package org.parsleyhead.codec.json;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.core.api.RouteName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.KeyItem;
import org.parsleyhead.core.ticket.Priority;
import org.parsleyhead.core.ticket.RouteItem;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.core.ticket.UpstreamItem;

/** Provides arbitrary values of core types. Stateless and thread-safe. */
final class CoreArbitraries {

  private CoreArbitraries() {}

  static Arbitrary<Ticket> tickets() {
    return Combinators.combine(
            Arbitraries.longs().greaterOrEqual(1), changes().list().uniqueElements(Change::key))
        .as((number, changes) -> new Ticket(new TicketNumber(number), changes));
  }

  static Arbitrary<Change> changes() {
    return Combinators.combine(items(), Arbitraries.of(true, false))
        .as((item, deleted) -> deleted ? Change.delete(item.key()) : Change.put(item));
  }

  static Arbitrary<HostList> hostLists() {
    Arbitrary<HostEntry> hosts =
        Combinators.combine(names(), endpoints(), Arbitraries.of(true, false))
            .as(
                (name, endpoint, leaving) ->
                    new HostEntry(
                        new HostName(name),
                        endpoint,
                        new RegionName("region-" + name.charAt(0)),
                        new FailureDomainName("domain"),
                        "cell-1",
                        leaving));
    return Combinators.combine(
            Arbitraries.longs().greaterOrEqual(0),
            hosts.list().ofMaxSize(8).uniqueElements(HostEntry::name),
            names().map(UpstreamName::new).set().ofMaxSize(5))
        .as(HostList::new);
  }

  private static Arbitrary<Item> items() {
    return Arbitraries.oneOf(accounts(), keys(), adapters(), routes(), upstreams());
  }

  private static Arbitrary<Item> accounts() {
    Arbitrary<Long> limits = Arbitraries.longs().greaterOrEqual(0);
    return Combinators.combine(names(), limits, limits)
        .as((name, rate, burst) -> new ClientAccountItem(new ClientAccountName(name), rate, burst));
  }

  private static Arbitrary<Item> keys() {
    return Combinators.combine(
            Arbitraries.strings().withChars("0123456789abcdef").ofLength(64), names())
        .as((digest, account) -> new KeyItem(digest, new ClientAccountName(account)));
  }

  private static Arbitrary<Item> adapters() {
    return Combinators.combine(
            names(), Arbitraries.integers().greaterOrEqual(1).set().ofMinSize(1), accountNames())
        .as(
            (name, versions, accounts) ->
                new AdapterItem(
                    new AdapterName(name), new ModelName("base"), versions, "w/" + name, accounts));
  }

  private static Arbitrary<Item> routes() {
    return Combinators.combine(
            names(),
            Arbitraries.of(RouteItem.Access.class),
            accountNames(),
            Arbitraries.of(true, false),
            Arbitraries.of(Priority.class),
            Arbitraries.longs().between(1, 1_000_000),
            names().map(UpstreamName::new).set().ofMaxSize(3))
        .as(
            (name, access, accounts, idempotent, priority, deadline, upstreams) ->
                new RouteItem(
                    new RouteName(name),
                    "/" + name,
                    access,
                    accounts,
                    idempotent,
                    priority,
                    Duration.ofMillis(deadline),
                    upstreams));
  }

  private static Arbitrary<Item> upstreams() {
    Arbitrary<Optional<UpstreamItem.Engine>> engines =
        Arbitraries.of(
            List.of(
                Optional.empty(),
                Optional.of(new UpstreamItem.Engine(new ModelName("base"), 4, 32, true))));
    return Combinators.combine(
            names(), endpoints(), engines, Arbitraries.of(true, false), Arbitraries.of(true, false))
        .as(
            (name, endpoint, engine, leaving, keys) ->
                new UpstreamItem(
                    new UpstreamName(name),
                    endpoint,
                    new FailureDomainName("domain-1"),
                    engine,
                    leaving,
                    keys));
  }

  private static Arbitrary<Set<ClientAccountName>> accountNames() {
    return names().map(ClientAccountName::new).set().ofMaxSize(3);
  }

  private static Arbitrary<Endpoint> endpoints() {
    return Arbitraries.integers().between(1, 65_535).map(port -> new Endpoint("10.0.0.1", port));
  }

  private static Arbitrary<String> names() {
    return Arbitraries.strings().withCharRange('!', '~').ofMinLength(1).ofMaxLength(20);
  }
}
