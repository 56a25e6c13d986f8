package org.parsleyhead.core.ticket;

import java.util.Collection;
import java.util.Optional;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.RouteName;
import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * The indexes of a catalogue for lookups other than by item key.
 *
 * <p>Immutable and thread-safe. The cost of changing one item is logarithmic in the number of
 * items.
 */
final class CatalogueIndexes {

  private static final CatalogueIndexes EMPTY =
      new CatalogueIndexes(TreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());

  private final PMap<String, TreePMap<RouteName, RouteItem>> routes;
  private final PMap<UpstreamName, UpstreamItem> upstreams;
  private final PMap<ModelName, TreePMap<UpstreamName, UpstreamItem>> engines;

  private CatalogueIndexes(
      PMap<String, TreePMap<RouteName, RouteItem>> routes,
      PMap<UpstreamName, UpstreamItem> upstreams,
      PMap<ModelName, TreePMap<UpstreamName, UpstreamItem>> engines) {
    this.routes = routes;
    this.upstreams = upstreams;
    this.engines = engines;
  }

  static CatalogueIndexes empty() {
    return EMPTY;
  }

  /** Returns the indexes after the state of an item changed. */
  CatalogueIndexes replace(Optional<Item> before, Optional<Item> after) {
    CatalogueIndexes without = before.map(this::without).orElse(this);
    return after.map(without::with).orElse(without);
  }

  /**
   * Returns the route with the longest matching path prefix. A prefix matches only if it ends at a
   * slash or at the end of the path. Of several routes with the same prefix, the first by name
   * wins.
   */
  Optional<RouteItem> route(String path) {
    String prefix = path;
    while (!prefix.isEmpty()) {
      TreePMap<RouteName, RouteItem> found = routes.get(prefix);
      if (found != null) {
        return Optional.of(found.firstEntry().getValue());
      }
      prefix = parentPrefix(prefix);
    }
    return Optional.empty();
  }

  Collection<UpstreamItem> upstreams() {
    return upstreams.values();
  }

  Collection<UpstreamItem> engines(ModelName baseModel) {
    return engines.getOrDefault(baseModel, TreePMap.empty()).values();
  }

  /**
   * Returns the next shorter candidate prefix: a path that ends with a slash loses the slash, any
   * other path is cut after its last slash.
   */
  private static String parentPrefix(String path) {
    int slash = path.lastIndexOf('/');
    return slash == path.length() - 1 ? path.substring(0, slash) : path.substring(0, slash + 1);
  }

  private CatalogueIndexes with(Item item) {
    if (item instanceof RouteItem route) {
      TreePMap<RouteName, RouteItem> samePrefix =
          routes.getOrDefault(route.pathPrefix(), TreePMap.empty());
      return new CatalogueIndexes(
          routes.plus(route.pathPrefix(), samePrefix.plus(route.name(), route)),
          upstreams,
          engines);
    }
    if (item instanceof UpstreamItem upstream) {
      return new CatalogueIndexes(
          routes,
          upstreams.plus(upstream.name(), upstream),
          upstream.engine().map(engine -> withEngine(engine, upstream)).orElse(engines));
    }
    return this;
  }

  private CatalogueIndexes without(Item item) {
    if (item instanceof RouteItem route) {
      TreePMap<RouteName, RouteItem> remaining = routes.get(route.pathPrefix()).minus(route.name());
      return new CatalogueIndexes(
          remaining.isEmpty()
              ? routes.minus(route.pathPrefix())
              : routes.plus(route.pathPrefix(), remaining),
          upstreams,
          engines);
    }
    if (item instanceof UpstreamItem upstream) {
      return new CatalogueIndexes(
          routes,
          upstreams.minus(upstream.name()),
          upstream.engine().map(engine -> withoutEngine(engine, upstream)).orElse(engines));
    }
    return this;
  }

  private PMap<ModelName, TreePMap<UpstreamName, UpstreamItem>> withEngine(
      UpstreamItem.Engine engine, UpstreamItem upstream) {
    TreePMap<UpstreamName, UpstreamItem> sameModel =
        engines.getOrDefault(engine.baseModel(), TreePMap.empty());
    return engines.plus(engine.baseModel(), sameModel.plus(upstream.name(), upstream));
  }

  private PMap<ModelName, TreePMap<UpstreamName, UpstreamItem>> withoutEngine(
      UpstreamItem.Engine engine, UpstreamItem upstream) {
    TreePMap<UpstreamName, UpstreamItem> remaining =
        engines.get(engine.baseModel()).minus(upstream.name());
    return remaining.isEmpty()
        ? engines.minus(engine.baseModel())
        : engines.plus(engine.baseModel(), remaining);
  }
}
