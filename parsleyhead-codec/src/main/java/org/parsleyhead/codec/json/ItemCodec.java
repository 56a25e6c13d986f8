package org.parsleyhead.codec.json;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.RouteName;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemKey;
import org.parsleyhead.core.ticket.ItemKind;
import org.parsleyhead.core.ticket.KeyItem;
import org.parsleyhead.core.ticket.Priority;
import org.parsleyhead.core.ticket.RouteItem;
import org.parsleyhead.core.ticket.UpstreamItem;

/**
 * Codec for the JSON format of declared items: {@code kind}, {@code name} and {@code item}.
 *
 * <p>Stateless and thread-safe.
 */
final class ItemCodec {

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private static final Map<ItemKind, BiFunction<String, JsonFields, Item>> READERS =
      Map.of(
          ItemKind.CLIENT_ACCOUNT, ItemCodec::readClientAccount,
          ItemKind.KEY, ItemCodec::readKey,
          ItemKind.ADAPTER, ItemCodec::readAdapter,
          ItemKind.ROUTE, ItemCodec::readRoute,
          ItemKind.UPSTREAM, ItemCodec::readUpstream);

  private ItemCodec() {}

  static Change readChange(JsonFields fields) {
    ItemKind kind = readKind(fields);
    String name = fields.text("name");
    try {
      if (!fields.has("item")) {
        return Change.delete(new ItemKey(kind, name));
      }
      return Change.put(READERS.get(kind).apply(name, fields.object("item")));
    } catch (InvalidValueException exception) {
      throw fields.error("item", "is not valid: " + exception.getMessage());
    }
  }

  static ObjectNode writeChange(Change change) {
    ObjectNode node = NODES.objectNode();
    node.put("kind", change.key().kind().text());
    node.put("name", change.key().name());
    node.set("item", change.item().map(ItemCodec::writeItem).orElse(null));
    return node;
  }

  private static ItemKind readKind(JsonFields fields) {
    String text = fields.text("kind");
    for (ItemKind kind : ItemKind.values()) {
      if (kind.text().equals(text)) {
        return kind;
      }
    }
    throw fields.error("kind", "is unknown: " + text);
  }

  private static Item readClientAccount(String name, JsonFields fields) {
    fields.allowOnly("tokens_per_second", "burst_tokens");
    return new ClientAccountItem(
        new ClientAccountName(name),
        fields.longValue("tokens_per_second"),
        fields.longValue("burst_tokens"));
  }

  private static Item readKey(String name, JsonFields fields) {
    fields.allowOnly("client_account");
    return new KeyItem(name, new ClientAccountName(fields.text("client_account")));
  }

  private static Item readAdapter(String name, JsonFields fields) {
    fields.allowOnly("base_model", "versions", "weights_path", "client_accounts");
    return new AdapterItem(
        new AdapterName(name),
        new ModelName(fields.text("base_model")),
        Set.copyOf(fields.intValues("versions")),
        fields.text("weights_path"),
        names(fields.texts("client_accounts"), ClientAccountName::new));
  }

  private static Item readRoute(String name, JsonFields fields) {
    fields.allowOnly(
        "path_prefix",
        "access",
        "client_accounts",
        "idempotent",
        "priority",
        "deadline_milliseconds",
        "upstreams");
    return new RouteItem(
        new RouteName(name),
        fields.text("path_prefix"),
        constant(fields, "access", RouteItem.Access.values()),
        names(fields.texts("client_accounts"), ClientAccountName::new),
        fields.booleanValue("idempotent"),
        constant(fields, "priority", Priority.values()),
        Duration.ofMillis(fields.longValue("deadline_milliseconds")),
        names(fields.texts("upstreams"), UpstreamName::new));
  }

  private static Item readUpstream(String name, JsonFields fields) {
    fields.allowOnly("endpoint", "failure_domain", "leaving", "idempotency_keys", "engine");
    return new UpstreamItem(
        new UpstreamName(name),
        Endpoint.parse(fields.text("endpoint")),
        new FailureDomainName(fields.text("failure_domain")),
        fields.has("engine") ? Optional.of(readEngine(fields.object("engine"))) : Optional.empty(),
        fields.booleanValue("leaving"),
        fields.booleanValue("idempotency_keys"));
  }

  private static UpstreamItem.Engine readEngine(JsonFields fields) {
    fields.allowOnly("base_model", "adapter_slots", "maximum_batch", "checks_fencing");
    return new UpstreamItem.Engine(
        new ModelName(fields.text("base_model")),
        fields.intValue("adapter_slots"),
        fields.intValue("maximum_batch"),
        fields.booleanValue("checks_fencing"));
  }

  /** Encodes the fields of an item without its kind and name. */
  static ObjectNode writeItem(Item item) {
    if (item instanceof ClientAccountItem account) {
      return NODES
          .objectNode()
          .put("tokens_per_second", account.tokensPerSecond())
          .put("burst_tokens", account.burstTokens());
    }
    if (item instanceof KeyItem key) {
      return NODES.objectNode().put("client_account", key.clientAccount().text());
    }
    if (item instanceof AdapterItem adapter) {
      return writeAdapter(adapter);
    }
    if (item instanceof RouteItem route) {
      return writeRoute(route);
    }
    return writeUpstream((UpstreamItem) item);
  }

  private static ObjectNode writeAdapter(AdapterItem adapter) {
    ObjectNode node = NODES.objectNode();
    node.put("base_model", adapter.baseModel().text());
    adapter.versions().stream().sorted().forEach(node.putArray("versions")::add);
    node.put("weights_path", adapter.weightsPath());
    putTexts(node, "client_accounts", adapter.clientAccounts());
    return node;
  }

  private static ObjectNode writeRoute(RouteItem route) {
    ObjectNode node = NODES.objectNode();
    node.put("path_prefix", route.pathPrefix());
    node.put("access", lowerCase(route.access()));
    putTexts(node, "client_accounts", route.clientAccounts());
    node.put("idempotent", route.idempotent());
    node.put("priority", lowerCase(route.priority()));
    node.put("deadline_milliseconds", route.deadline().toMillis());
    putTexts(node, "upstreams", route.upstreams());
    return node;
  }

  private static ObjectNode writeUpstream(UpstreamItem upstream) {
    ObjectNode node = NODES.objectNode();
    node.put("endpoint", upstream.endpoint().toString());
    node.put("failure_domain", upstream.failureDomain().text());
    node.put("leaving", upstream.leaving());
    node.put("idempotency_keys", upstream.supportsIdempotencyKeys());
    upstream.engine().ifPresent(engine -> node.set("engine", writeEngine(engine)));
    return node;
  }

  private static ObjectNode writeEngine(UpstreamItem.Engine engine) {
    return NODES
        .objectNode()
        .put("base_model", engine.baseModel().text())
        .put("adapter_slots", engine.adapterSlots())
        .put("maximum_batch", engine.maximumBatch())
        .put("checks_fencing", engine.checksFencing());
  }

  private static void putTexts(ObjectNode node, String name, Collection<?> values) {
    values.stream().map(Object::toString).sorted().forEach(node.putArray(name)::add);
  }

  private static <E extends Enum<E>> E constant(JsonFields fields, String name, E[] constants) {
    String text = fields.text(name);
    for (E constant : constants) {
      if (lowerCase(constant).equals(text)) {
        return constant;
      }
    }
    throw fields.error(name, "is unknown: " + text);
  }

  private static <N> Set<N> names(List<String> texts, Function<String, N> constructor) {
    return texts.stream().map(constructor).collect(Collectors.toUnmodifiableSet());
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
