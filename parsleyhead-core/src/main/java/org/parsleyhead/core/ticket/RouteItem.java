package org.parsleyhead.core.ticket;

import java.time.Duration;
import java.util.Set;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RouteName;
import org.parsleyhead.core.api.UpstreamName;

/**
 * A route from a path prefix to plain services, or to the model servers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name
 * @param pathPrefix the path prefix that callers use; starts with a slash
 * @param access who may call it
 * @param clientAccounts the client accounts that may call it, if access is restricted
 * @param idempotent whether its calls may be repeated
 * @param priority the class of its requests
 * @param deadline the longest time that a call may take
 * @param upstreams the plain services behind it; empty for the model servers
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

  /** Checks and copies the parts. */
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

  /** Tells whether the route leads to the model servers. */
  public boolean leadsToModels() {
    return upstreams.isEmpty();
  }

  /** Who may call a route. */
  public enum Access {
    /** Anybody, with or without a key. */
    OPEN,
    /** Any client account with a valid key. */
    AUTHENTICATED,
    /** The listed client accounts. */
    RESTRICTED
  }
}
