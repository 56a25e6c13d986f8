package org.parsleyhead.operator.declaration;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Supplier;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.RouteName;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemKind;
import org.parsleyhead.core.ticket.KeyItem;
import org.parsleyhead.core.ticket.Priority;
import org.parsleyhead.core.ticket.RouteItem;
import org.parsleyhead.core.ticket.UpstreamItem;

/**
 * Reads an item from its table. Field names are the same as in tickets.
 *
 * <p>Stateless and thread-safe. All fields are read before the item is created, so that every
 * problem is reported.
 */
final class ItemReader {

  private static final Map<ItemKind, BiFunction<String, DeclarationFields, Optional<Item>>>
      READERS =
          Map.of(
              ItemKind.CLIENT_ACCOUNT, ItemReader::clientAccount,
              ItemKind.KEY, ItemReader::key,
              ItemKind.ADAPTER, ItemReader::adapter,
              ItemKind.ROUTE, ItemReader::route,
              ItemKind.UPSTREAM, ItemReader::upstream);

  private ItemReader() {}

  /** Reads an item; empty if a problem was reported. */
  static Optional<Item> read(ItemKind kind, String name, DeclarationFields fields) {
    return READERS.get(kind).apply(name, fields);
  }

  private static Optional<Item> clientAccount(String name, DeclarationFields fields) {
    Optional<Long> rate = fields.number("tokens_per_second");
    Optional<Long> burst = fields.number("burst_tokens");
    return create(
        fields,
        () ->
            new ClientAccountItem(
                new ClientAccountName(name), rate.orElseThrow(), burst.orElseThrow()),
        rate,
        burst);
  }

  private static Optional<Item> key(String name, DeclarationFields fields) {
    Optional<ClientAccountName> account = fields.value("client_account", ClientAccountName::new);
    return create(fields, () -> new KeyItem(name, account.orElseThrow()), account);
  }

  private static Optional<Item> adapter(String name, DeclarationFields fields) {
    Optional<ModelName> baseModel = fields.value("base_model", ModelName::new);
    Optional<Set<Integer>> versions = fields.integers("versions");
    Optional<String> weightsPath = fields.value("weights_path", Function.identity());
    Optional<Set<ClientAccountName>> accounts =
        fields.values("client_accounts", ClientAccountName::new);
    return create(
        fields,
        () ->
            new AdapterItem(
                new AdapterName(name),
                baseModel.orElseThrow(),
                versions.orElseThrow(),
                weightsPath.orElseThrow(),
                accounts.orElseThrow()),
        baseModel,
        versions,
        weightsPath,
        accounts);
  }

  private static Optional<Item> route(String name, DeclarationFields fields) {
    Optional<String> pathPrefix = fields.value("path_prefix", Function.identity());
    Optional<RouteItem.Access> access = fields.constant("access", RouteItem.Access.values());
    Optional<Set<ClientAccountName>> accounts =
        fields.values("client_accounts", ClientAccountName::new);
    Optional<Boolean> idempotent = fields.flag("idempotent");
    Optional<Priority> priority =
        fields.constant("priority", Priority.values(), Priority.INTERACTIVE);
    Optional<Long> deadline = fields.number("deadline_milliseconds");
    Optional<Set<UpstreamName>> upstreams = fields.values("upstreams", UpstreamName::new);
    return create(
        fields,
        () ->
            new RouteItem(
                new RouteName(name),
                pathPrefix.orElseThrow(),
                access.orElseThrow(),
                accounts.orElseThrow(),
                idempotent.orElseThrow(),
                priority.orElseThrow(),
                Duration.ofMillis(deadline.orElseThrow()),
                upstreams.orElseThrow()),
        pathPrefix,
        access,
        accounts,
        idempotent,
        priority,
        deadline,
        upstreams);
  }

  private static Optional<Item> upstream(String name, DeclarationFields fields) {
    Optional<Endpoint> endpoint = fields.value("endpoint", Endpoint::parse);
    Optional<FailureDomainName> failureDomain =
        fields.value("failure_domain", FailureDomainName::new);
    Optional<Boolean> leaving = fields.flag("leaving");
    Optional<Boolean> idempotencyKeys = fields.flag("idempotency_keys");
    Optional<Optional<UpstreamItem.Engine>> engine = engine(fields);
    return create(
        fields,
        () ->
            new UpstreamItem(
                new UpstreamName(name),
                endpoint.orElseThrow(),
                failureDomain.orElseThrow(),
                engine.orElseThrow(),
                leaving.orElseThrow(),
                idempotencyKeys.orElseThrow()),
        endpoint,
        failureDomain,
        leaving,
        idempotencyKeys,
        engine);
  }

  /** Reads the engine table of a model server; the inner value is empty for a plain service. */
  private static Optional<Optional<UpstreamItem.Engine>> engine(DeclarationFields fields) {
    if (!fields.has("engine")) {
      return Optional.of(Optional.empty());
    }
    return fields.table("engine").flatMap(ItemReader::engineTable).map(Optional::of);
  }

  private static Optional<UpstreamItem.Engine> engineTable(DeclarationFields fields) {
    Optional<ModelName> baseModel = fields.value("base_model", ModelName::new);
    Optional<Integer> adapterSlots = fields.integer("adapter_slots");
    Optional<Integer> maximumBatch = fields.integer("maximum_batch");
    Optional<Boolean> checksFencing = fields.flag("checks_fencing");
    return create(
        fields,
        () ->
            new UpstreamItem.Engine(
                baseModel.orElseThrow(),
                adapterSlots.orElseThrow(),
                maximumBatch.orElseThrow(),
                checksFencing.orElseThrow()),
        baseModel,
        adapterSlots,
        maximumBatch,
        checksFencing);
  }

  private static <T> Optional<T> create(
      DeclarationFields fields, Supplier<? extends T> constructor, Optional<?>... parts) {
    for (Optional<?> part : parts) {
      if (part.isEmpty()) {
        fields.reportUnknownFields();
        return Optional.empty();
      }
    }
    return fields.create(constructor::get);
  }
}
