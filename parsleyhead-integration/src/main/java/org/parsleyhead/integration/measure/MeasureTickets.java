package org.parsleyhead.integration.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.RouteName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.KeyItem;
import org.parsleyhead.core.ticket.Priority;
import org.parsleyhead.core.ticket.RouteItem;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;
import org.parsleyhead.load.settings.LoadSettings;

/**
 * Creates the tickets that declare the items used by the settings of a load. Stateless and
 * thread-safe.
 */
final class MeasureTickets {

  private static final ModelName BASE_MODEL = new ModelName("base");
  private static final int FAILURE_DOMAINS = 3;
  private static final int ADAPTERS_PER_TICKET = 1_000;
  private static final Duration DEADLINE = Duration.ofSeconds(120);
  private static final String BATCH_CLASS = "batch";

  private MeasureTickets() {}

  /**
   * Returns the tickets in order: the first declares client accounts, keys, routes and upstreams,
   * the others declare adapters.
   *
   * @param load the settings of the load
   * @param layout the stand-ins
   * @param adapterSlots the number of adapter slots of each engine
   * @param maximumBatch the maximum batch size of each engine
   */
  static List<Ticket> of(
      LoadSettings load, StandinLayout layout, int adapterSlots, int maximumBatch) {
    List<Change> changes = new ArrayList<>();
    load.accounts().values().forEach(account -> addAccount(changes, account));
    addRoutes(changes, load, layout);
    layout
        .engines()
        .forEach(
            (name, endpoint) ->
                changes.add(
                    upstream(
                        name,
                        endpoint,
                        Optional.of(engine(name, layout, adapterSlots, maximumBatch)))));
    layout
        .services()
        .forEach((name, endpoint) -> changes.add(upstream(name, endpoint, Optional.empty())));
    List<Ticket> tickets = new ArrayList<>();
    tickets.add(new Ticket(new TicketNumber(1), changes));
    addAdapters(tickets, load);
    return tickets;
  }

  private static void addAccount(List<Change> changes, LoadSettings.Account account) {
    ClientAccountName name = new ClientAccountName(account.name());
    changes.add(
        Change.put(new ClientAccountItem(name, account.tokensPerSecond(), account.burstTokens())));
    changes.add(Change.put(new KeyItem(SampleTickets.digest(account.key()), name)));
  }

  private static void addRoutes(List<Change> changes, LoadSettings load, StandinLayout layout) {
    Set<UpstreamName> services =
        layout.services().keySet().stream().map(UpstreamName::new).collect(Collectors.toSet());
    Set<String> prefixes = new HashSet<>();
    for (LoadSettings.TrafficProfile traffic : load.trafficProfiles()) {
      boolean isCall = traffic.kind() == LoadSettings.Kind.CALL;
      String prefix =
          isCall ? traffic.path() : traffic.path().substring(0, traffic.path().indexOf("/v1") + 3);
      if (prefixes.add(prefix)) {
        changes.add(
            Change.put(
                new RouteItem(
                    new RouteName("route-" + prefixes.size()),
                    prefix,
                    RouteItem.Access.AUTHENTICATED,
                    Set.of(),
                    !isCall || traffic.idempotent(),
                    traffic.trafficClass().equals(BATCH_CLASS)
                        ? Priority.BATCH
                        : Priority.INTERACTIVE,
                    DEADLINE,
                    isCall ? services : Set.of())));
      }
    }
  }

  private static UpstreamItem.Engine engine(
      String name, StandinLayout layout, int adapterSlots, int maximumBatch) {
    boolean checksFencing =
        !layout.extraSettings().contains("engine." + name + ".checks_fencing = false");
    return new UpstreamItem.Engine(BASE_MODEL, adapterSlots, maximumBatch, checksFencing);
  }

  private static Change upstream(
      String name, String endpoint, Optional<UpstreamItem.Engine> engine) {
    int domain = Math.floorMod(name.hashCode(), FAILURE_DOMAINS) + 1;
    return Change.put(
        new UpstreamItem(
            new UpstreamName(name),
            Endpoint.parse(endpoint),
            new FailureDomainName("domain-" + domain),
            engine,
            false,
            false));
  }

  private static void addAdapters(List<Ticket> tickets, LoadSettings load) {
    Set<ClientAccountName> accounts =
        load.accounts().keySet().stream().map(ClientAccountName::new).collect(Collectors.toSet());
    List<Change> changes = new ArrayList<>();
    for (int index = 0; index <= load.adapters().count(); index++) {
      String name = load.adapters().prefix() + index;
      changes.add(
          Change.put(
              new AdapterItem(
                  new AdapterName(name),
                  BASE_MODEL,
                  Set.of(load.adapters().version()),
                  "weights/" + name,
                  accounts)));
      if (changes.size() == ADAPTERS_PER_TICKET || index == load.adapters().count()) {
        tickets.add(new Ticket(new TicketNumber(tickets.size() + 1L), changes));
        changes = new ArrayList<>();
      }
    }
  }
}
