package org.parsleyhead.core.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.parsleyhead.core.api.Preconditions;

/**
 * One version of the routes, services, limits and client accounts that operators declare.
 *
 * <p>Immutable and thread-safe. A newer version replaces an older one as a whole.
 */
public final class ServiceCatalogue {

  /** The catalogue of a host that has not received any; contains no routes. */
  public static final ServiceCatalogue EMPTY =
      new ServiceCatalogue(0, List.of(), List.of(), RequestLimits.INITIAL, List.of());

  private final long version;
  private final RequestLimits limits;
  private final Map<String, List<ServiceRoute>> routesByHost;
  private final Map<String, ServiceDefinition> services;
  private final Map<String, AccountLimits> accountsByKey;
  private final List<AccountLimits> accounts;

  /** Creates a catalogue and its indexes. */
  public ServiceCatalogue(
      long version,
      List<ServiceRoute> routes,
      List<ServiceDefinition> services,
      RequestLimits limits,
      List<AccountLimits> accounts) {
    this.version = Preconditions.requireNonNegative(version, "version");
    this.limits = Preconditions.requireNonNull(limits, "limits");
    this.accounts = List.copyOf(accounts);
    this.services =
        services.stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    ServiceDefinition::name, Function.identity(), (first, second) -> second));
    Map<String, List<ServiceRoute>> byHost = new HashMap<>();
    routes.forEach(
        route -> byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route));
    byHost
        .values()
        .forEach(
            list ->
                list.sort(
                    Comparator.comparingInt((ServiceRoute route) -> route.prefix().length())
                        .reversed()));
    this.routesByHost = Map.copyOf(byHost);
    Map<String, AccountLimits> byKey = new HashMap<>();
    accounts.forEach(account -> account.keys().forEach(key -> byKey.put(key, account)));
    this.accountsByKey = Map.copyOf(byKey);
  }

  /** Returns the version; 0 if no catalogue was received. */
  public long version() {
    return version;
  }

  /** Returns whether a catalogue was received. */
  public boolean known() {
    return version > 0;
  }

  /** Returns the limits for requests of callers. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns all client accounts. */
  public List<AccountLimits> accounts() {
    return accounts;
  }

  /** Returns the route with the longest prefix for a host name and a path. */
  public Optional<ServiceRoute> route(String host, String path) {
    for (ServiceRoute route : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the client account that holds a key. */
  public Optional<AccountLimits> account(String key) {
    return Optional.ofNullable(accountsByKey.get(key));
  }

  /** Returns all services. */
  public Collection<ServiceDefinition> services() {
    return services.values();
  }

  /** Returns the service with a name. */
  public Optional<ServiceDefinition> service(String name) {
    return Optional.ofNullable(services.get(name));
  }
}
