package org.parsleyhead.operator.declaration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemKey;
import org.parsleyhead.core.ticket.ItemKind;
import org.parsleyhead.core.ticket.KeyItem;
import org.parsleyhead.core.ticket.RouteItem;
import org.parsleyhead.core.ticket.UpstreamItem;

/**
 * Validates declared items: references must name declared items, path prefixes and endpoints must
 * be unique, and the fields of an item must be consistent with each other.
 *
 * <p>Confined to one thread; an instance serves one validation.
 */
final class DeclarationValidator {

  private static final Set<String> UNSAFE_PATH_SEQUENCES = Set.of("//", "/.", "%", "?", "#", "\\");

  private final Set<ItemKey> declaredKeys;
  private final Map<UpstreamName, UpstreamItem> upstreams;
  private final List<Problem> problems = new ArrayList<>();

  private DeclarationValidator(List<DeclaredItem> items, Set<ItemKey> declaredKeys) {
    this.declaredKeys = declaredKeys;
    this.upstreams =
        items.stream()
            .map(DeclaredItem::item)
            .filter(UpstreamItem.class::isInstance)
            .map(UpstreamItem.class::cast)
            .collect(Collectors.toMap(UpstreamItem::name, Function.identity(), (one, two) -> one));
  }

  /**
   * Returns all problems of the items.
   *
   * @param items the items that were read without problems
   * @param declaredKeys the keys of all declared items, including those with problems
   */
  static List<Problem> check(List<DeclaredItem> items, Set<ItemKey> declaredKeys) {
    DeclarationValidator validator = new DeclarationValidator(items, declaredKeys);
    items.forEach(validator::check);
    validator.rejectDuplicateValues(
        items, "path_prefix", item -> item instanceof RouteItem route ? route.pathPrefix() : null);
    validator.rejectDuplicateValues(
        items,
        "endpoint",
        item -> item instanceof UpstreamItem upstream ? upstream.endpoint().toString() : null);
    return validator.problems;
  }

  private void check(DeclaredItem declared) {
    Item item = declared.item();
    if (item instanceof ClientAccountItem account) {
      checkAccount(declared, account);
    } else if (item instanceof KeyItem key) {
      requireAccounts(declared, "client_account", Set.of(key.clientAccount()));
    } else if (item instanceof AdapterItem adapter) {
      checkAdapter(declared, adapter);
    } else if (item instanceof RouteItem route) {
      checkRoute(declared, route);
    }
  }

  private void checkAccount(DeclaredItem declared, ClientAccountItem account) {
    if (account.tokensPerSecond() > 0 && account.burstTokens() == 0) {
      problems.add(declared.problem("burst_tokens", "must be positive, or nothing is admitted"));
    }
  }

  private void checkAdapter(DeclaredItem declared, AdapterItem adapter) {
    requireAccounts(declared, "client_accounts", adapter.clientAccounts());
    if (!isServed(adapter.baseModel())) {
      problems.add(
          declared.problem("base_model", "is served by no upstream: " + adapter.baseModel()));
    }
  }

  private void checkRoute(DeclaredItem declared, RouteItem route) {
    requireAccounts(declared, "client_accounts", route.clientAccounts());
    boolean restricted = route.access() == RouteItem.Access.RESTRICTED;
    if (restricted == route.clientAccounts().isEmpty()) {
      String text = "must name accounts if access is \"restricted\", and none otherwise";
      problems.add(declared.problem("client_accounts", text));
    }
    if (UNSAFE_PATH_SEQUENCES.stream().anyMatch(route.pathPrefix()::contains)) {
      String text = "must not contain //, /., %, ?, # or \\: " + route.pathPrefix();
      problems.add(declared.problem("path_prefix", text));
    }
    route.upstreams().stream().sorted().forEach(name -> checkUpstreamReference(declared, name));
  }

  private void checkUpstreamReference(DeclaredItem declared, UpstreamName name) {
    UpstreamItem upstream = upstreams.get(name);
    if (!declaredKeys.contains(UpstreamItem.keyOf(name))) {
      problems.add(
          declared.problem("upstreams", "names an upstream that is not declared: " + name));
    } else if (upstream != null && upstream.engine().isPresent()) {
      String text = "names a model server: " + name + "; leave upstreams out for models";
      problems.add(declared.problem("upstreams", text));
    }
  }

  private void requireAccounts(
      DeclaredItem declared, String field, Collection<ClientAccountName> names) {
    names.stream()
        .filter(name -> !declaredKeys.contains(ClientAccountItem.keyOf(name)))
        .sorted()
        .map(name -> "names a client account that is not declared: " + name)
        .map(text -> declared.problem(field, text))
        .forEach(problems::add);
  }

  private void rejectDuplicateValues(
      List<DeclaredItem> items, String field, Function<Item, String> reader) {
    Map<String, DeclaredItem> first = new HashMap<>();
    for (DeclaredItem declared : items) {
      String value = reader.apply(declared.item());
      DeclaredItem earlier = value == null ? null : first.putIfAbsent(value, declared);
      if (earlier != null && !earlier.item().key().equals(declared.item().key())) {
        String text = "is the same as that of " + earlier.path() + ": " + value;
        problems.add(declared.problem(field, text));
      }
    }
  }

  /** Returns whether an upstream serves a model; true if not all upstreams could be read. */
  private boolean isServed(ModelName model) {
    long declaredUpstreams =
        declaredKeys.stream().filter(key -> key.kind() == ItemKind.UPSTREAM).count();
    return upstreams.size() < declaredUpstreams
        || upstreams.values().stream()
            .flatMap(upstream -> upstream.engine().stream())
            .anyMatch(engine -> engine.baseModel().equals(model));
  }
}
