package org.parsleyhead.core.ticket;

import java.time.Duration;
import java.util.Set;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RouteName;
import org.parsleyhead.core.api.UpstreamName;

/**
 * The declaration of a route from a path prefix to plain services or to the model servers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the route name
 * @param pathPrefix the prefix of request paths; starts with a slash
 * @param access who may call the route
 * @param clientAccounts the client accounts that may call the route if access is restricted
 * @param idempotent whether requests on the route may be executed more than once
 * @param priority the priority of requests on the route
 * @param deadline the maximum duration of a request
 * @param upstreams the plain services that serve the route; empty for the model servers
 */
public record RouteItem(
    RouteName name,
    String pathPrefix,
    Access access,
    Set<ClientAccountName> clientAccounts,
    boolean idempotent,
    Priority priority,
    Duration deadline,
    Set<UpstreamName> upstreams)
    implements Item {

  /** Validates the components and copies the collections. */
  public RouteItem {
    Preconditions.requireNonNull(name, "name");
    Preconditions.requireName(pathPrefix, "path_prefix");
    Preconditions.require(pathPrefix.startsWith("/"), "path_prefix", "must start with a slash");
    Preconditions.requireNonNull(access, "access");
    Preconditions.requireNonNull(priority, "priority");
    Preconditions.requireNonNull(deadline, "deadline");
    Preconditions.requirePositive(deadline.toMillis(), "deadline");
    clientAccounts = Set.copyOf(clientAccounts);
    upstreams = Set.copyOf(upstreams);
  }

  /** Returns the item key of a route. */
  public static ItemKey keyOf(RouteName name) {
    return new ItemKey(ItemKind.ROUTE, name.text());
  }

  @Override
  public ItemKey key() {
    return keyOf(name);
  }

  /** Returns whether the model servers serve the route. */
  public boolean isModelRoute() {
    return upstreams.isEmpty();
  }

  /** The callers that may use a route. The order is part of the encoding between hosts. */
  public enum Access {
    /** Any caller, with or without a key. */
    OPEN,
    /** Any client account with a valid key. */
    AUTHENTICATED,
    /** Only the listed client accounts. */
    RESTRICTED
  }
}
