package org.parsleyhead.core.request;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.ItemKind;
import org.parsleyhead.core.ticket.RouteItem;

/**
 * The declared routes, longest path prefix first.
 *
 * <p>Immutable and thread-safe.
 */
final class RouteTable {

  private final List<RouteItem> routes;

  private RouteTable(List<RouteItem> routes) {
    this.routes = routes;
  }

  static RouteTable of(Catalogue catalogue) {
    Comparator<RouteItem> longestFirst =
        Comparator.comparingInt((RouteItem route) -> route.pathPrefix().length()).reversed();
    return new RouteTable(
        catalogue.items().entrySet().stream()
            .filter(entry -> entry.getKey().kind() == ItemKind.ROUTE)
            .flatMap(entry -> entry.getValue().item().stream())
            .map(RouteItem.class::cast)
            .sorted(longestFirst.thenComparing(RouteItem::name))
            .toList());
  }

  /** Returns the route with the longest prefix that ends at a segment boundary of the path. */
  Optional<RouteItem> find(String path) {
    return routes.stream().filter(route -> matches(route.pathPrefix(), path)).findFirst();
  }

  private static boolean matches(String prefix, String path) {
    return path.startsWith(prefix)
        && (prefix.endsWith("/")
            || path.length() == prefix.length()
            || path.charAt(prefix.length()) == '/');
  }
}
