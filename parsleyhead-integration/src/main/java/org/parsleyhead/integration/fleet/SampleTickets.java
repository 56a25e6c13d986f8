package org.parsleyhead.integration.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
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

/**
 * Tickets for the demonstration and tests: two client accounts, some adapters, model routes, an
 * idempotent and a non-idempotent route to plain services, and an open route.
 *
 * <p>Stateless and thread-safe.
 */
public final class SampleTickets {

  /** A client account with a key. */
  public static final ClientAccountName CORDIALS = new ClientAccountName("cordials");

  /** Another client account with a key. */
  public static final ClientAccountName SITEPOWER = new ClientAccountName("sitepower");

  /** The key of {@link #CORDIALS}. */
  public static final String CORDIALS_KEY = "sample-key-of-cordials";

  /** The key of {@link #SITEPOWER}. */
  public static final String SITEPOWER_KEY = "sample-key-of-sitepower";

  private static final ModelName BASE_MODEL = new ModelName("base");
  private static final int ADAPTER_SLOTS = 4;
  private static final int MAXIMUM_BATCH = 32;
  private static final long DEFAULT_RATE = 20_000;
  private static final long DEFAULT_BURST = 100_000;

  private SampleTickets() {}

  /** Returns the first ticket for a layout of stand-ins. */
  public static Ticket first(StandinLayout layout) {
    return first(layout, 8, DEFAULT_RATE, DEFAULT_BURST);
  }

  /**
   * Returns the first ticket for a layout of stand-ins.
   *
   * @param layout the stand-ins
   * @param adapters how many adapters with two versions each are declared
   * @param rate the rate of each client account, in tokens per second
   * @param burst the burst of each client account, in tokens
   */
  public static Ticket first(StandinLayout layout, int adapters, long rate, long burst) {
    List<Change> changes = new ArrayList<>();
    changes.add(Change.put(new ClientAccountItem(CORDIALS, rate, burst)));
    changes.add(Change.put(new ClientAccountItem(SITEPOWER, rate, burst)));
    changes.add(Change.put(new KeyItem(digest(CORDIALS_KEY), CORDIALS)));
    changes.add(Change.put(new KeyItem(digest(SITEPOWER_KEY), SITEPOWER)));
    for (int index = 1; index <= adapters; index++) {
      changes.add(Change.put(adapter("adapter-" + index)));
    }
    Set<UpstreamName> services =
        layout.services().keySet().stream().map(UpstreamName::new).collect(Collectors.toSet());
    changes.add(Change.put(route("models", "/v1", true, RouteItem.Access.AUTHENTICATED, Set.of())));
    changes.add(
        Change.put(route("stock", "/stock", true, RouteItem.Access.AUTHENTICATED, services)));
    changes.add(
        Change.put(
            route("dispatch", "/dispatch", false, RouteItem.Access.AUTHENTICATED, services)));
    changes.add(Change.put(route("status", "/status", true, RouteItem.Access.OPEN, services)));
    changes.addAll(upstreams(layout, layout.engines(), layout.services()));
    return new Ticket(new TicketNumber(1), changes);
  }

  /** Returns a ticket that withdraws a key. */
  public static Ticket revokeKey(long number, String key) {
    return new Ticket(new TicketNumber(number), List.of(Change.delete(KeyItem.keyOf(digest(key)))));
  }

  /** Returns a ticket that issues a key. */
  public static Ticket issueKey(long number, String key, ClientAccountName account) {
    return new Ticket(
        new TicketNumber(number), List.of(Change.put(new KeyItem(digest(key), account))));
  }

  /** Returns a ticket that changes the limits of a client account. */
  public static Ticket limits(long number, ClientAccountName account, long rate, long burst) {
    return new Ticket(
        new TicketNumber(number), List.of(Change.put(new ClientAccountItem(account, rate, burst))));
  }

  /** Returns a ticket that declares an upstream anew. */
  public static Ticket upstream(long number, UpstreamItem upstream) {
    return new Ticket(new TicketNumber(number), List.of(Change.put(upstream)));
  }

  /** Returns an upstream of a layout as a ticket declares it, at another endpoint if wanted. */
  public static UpstreamItem engine(String name, String endpoint, boolean checksFencing) {
    return new UpstreamItem(
        new UpstreamName(name),
        Endpoint.parse(endpoint),
        new FailureDomainName("domain-1"),
        Optional.of(
            new UpstreamItem.Engine(BASE_MODEL, ADAPTER_SLOTS, MAXIMUM_BATCH, checksFencing)),
        false,
        false);
  }

  /** Returns a plain service as a ticket declares it. */
  public static UpstreamItem service(String name, String endpoint) {
    return new UpstreamItem(
        new UpstreamName(name),
        Endpoint.parse(endpoint),
        new FailureDomainName("domain-1"),
        Optional.empty(),
        false,
        false);
  }

  /** Returns the digest of a key as tickets carry it. */
  public static String digest(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException exception) {
      throw new FleetException("every Java platform has SHA-256", exception);
    }
  }

  private static List<Change> upstreams(
      StandinLayout layout, Map<String, String> engines, Map<String, String> services) {
    List<Change> changes = new ArrayList<>();
    engines.forEach(
        (name, endpoint) ->
            changes.add(Change.put(engine(name, layout.reachedAt(name, endpoint), true))));
    services.forEach(
        (name, endpoint) ->
            changes.add(Change.put(service(name, layout.reachedAt(name, endpoint)))));
    return changes;
  }

  private static AdapterItem adapter(String name) {
    return new AdapterItem(
        new AdapterName(name),
        BASE_MODEL,
        Set.of(1, 2),
        "weights/" + name,
        Set.of(CORDIALS, SITEPOWER));
  }

  private static RouteItem route(
      String name,
      String prefix,
      boolean idempotent,
      RouteItem.Access access,
      Set<UpstreamName> upstreams) {
    return new RouteItem(
        new RouteName(name),
        prefix,
        access,
        Set.of(),
        idempotent,
        Priority.INTERACTIVE,
        Duration.ofSeconds(30),
        upstreams);
  }
}
