package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
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
 * MessagePack encoding of declared items: kind, name, whether the item exists, and its fields in a
 * fixed order.
 *
 * <p>Stateless and thread-safe.
 */
final class ItemEncoding {

  private static final List<ItemKind> KINDS = List.of(ItemKind.values());
  private static final List<RouteItem.Access> ACCESS = List.of(RouteItem.Access.values());
  private static final List<Priority> PRIORITIES = List.of(Priority.values());

  private ItemEncoding() {}

  static void write(ItemKey key, Optional<Item> item, MessagePacker packer) throws IOException {
    packer.packInt(key.kind().ordinal()).packString(key.name()).packBoolean(item.isPresent());
    if (item.isPresent()) {
      writeItem(item.get(), packer);
    }
  }

  static Change read(MessageUnpacker unpacker) throws IOException {
    ItemKind kind = OrdinalDecoder.read(KINDS, unpacker);
    String name = unpacker.unpackString();
    boolean present = unpacker.unpackBoolean();
    return present
        ? Change.put(readItem(kind, name, unpacker))
        : Change.delete(new ItemKey(kind, name));
  }

  private static void writeItem(Item item, MessagePacker packer) throws IOException {
    if (item instanceof ClientAccountItem account) {
      packer.packLong(account.tokensPerSecond()).packLong(account.burstTokens());
    } else if (item instanceof KeyItem key) {
      packer.packString(key.clientAccount().text());
    } else if (item instanceof AdapterItem adapter) {
      writeAdapter(adapter, packer);
    } else if (item instanceof RouteItem route) {
      writeRoute(route, packer);
    } else {
      writeUpstream((UpstreamItem) item, packer);
    }
  }

  private static Item readItem(ItemKind kind, String name, MessageUnpacker unpacker)
      throws IOException {
    return switch (kind) {
      case CLIENT_ACCOUNT ->
          new ClientAccountItem(
              new ClientAccountName(name), unpacker.unpackLong(), unpacker.unpackLong());
      case KEY -> new KeyItem(name, new ClientAccountName(unpacker.unpackString()));
      case ADAPTER -> readAdapter(name, unpacker);
      case ROUTE -> readRoute(name, unpacker);
      case UPSTREAM -> readUpstream(name, unpacker);
    };
  }

  private static void writeAdapter(AdapterItem adapter, MessagePacker packer) throws IOException {
    packer.packString(adapter.baseModel().text());
    packer.packArrayHeader(adapter.versions().size());
    for (int version : adapter.versions()) {
      packer.packInt(version);
    }
    packer.packString(adapter.weightsPath());
    writeNames(adapter.clientAccounts(), packer);
  }

  private static AdapterItem readAdapter(String name, MessageUnpacker unpacker) throws IOException {
    ModelName model = new ModelName(unpacker.unpackString());
    Set<Integer> versions = new HashSet<>();
    int size = unpacker.unpackArrayHeader();
    for (int index = 0; index < size; index++) {
      versions.add(unpacker.unpackInt());
    }
    return new AdapterItem(
        new AdapterName(name),
        model,
        versions,
        unpacker.unpackString(),
        readNames(unpacker, ClientAccountName::new));
  }

  private static void writeRoute(RouteItem route, MessagePacker packer) throws IOException {
    packer.packString(route.pathPrefix()).packInt(route.access().ordinal());
    writeNames(route.clientAccounts(), packer);
    packer
        .packBoolean(route.idempotent())
        .packInt(route.priority().ordinal())
        .packLong(route.deadline().toMillis());
    writeNames(route.upstreams(), packer);
  }

  private static RouteItem readRoute(String name, MessageUnpacker unpacker) throws IOException {
    return new RouteItem(
        new RouteName(name),
        unpacker.unpackString(),
        OrdinalDecoder.read(ACCESS, unpacker),
        readNames(unpacker, ClientAccountName::new),
        unpacker.unpackBoolean(),
        OrdinalDecoder.read(PRIORITIES, unpacker),
        Duration.ofMillis(unpacker.unpackLong()),
        readNames(unpacker, UpstreamName::new));
  }

  private static void writeUpstream(UpstreamItem upstream, MessagePacker packer)
      throws IOException {
    packer
        .packString(upstream.endpoint().address())
        .packInt(upstream.endpoint().port())
        .packString(upstream.failureDomain().text())
        .packBoolean(upstream.leaving())
        .packBoolean(upstream.supportsIdempotencyKeys())
        .packBoolean(upstream.engine().isPresent());
    if (upstream.engine().isPresent()) {
      UpstreamItem.Engine engine = upstream.engine().get();
      packer
          .packString(engine.baseModel().text())
          .packInt(engine.adapterSlots())
          .packInt(engine.maximumBatch())
          .packBoolean(engine.checksFencing());
    }
  }

  private static UpstreamItem readUpstream(String name, MessageUnpacker unpacker)
      throws IOException {
    Endpoint endpoint = new Endpoint(unpacker.unpackString(), unpacker.unpackInt());
    FailureDomainName domain = new FailureDomainName(unpacker.unpackString());
    boolean leaving = unpacker.unpackBoolean();
    boolean idempotencyKeys = unpacker.unpackBoolean();
    Optional<UpstreamItem.Engine> engine =
        unpacker.unpackBoolean() ? Optional.of(readEngine(unpacker)) : Optional.empty();
    return new UpstreamItem(
        new UpstreamName(name), endpoint, domain, engine, leaving, idempotencyKeys);
  }

  private static UpstreamItem.Engine readEngine(MessageUnpacker unpacker) throws IOException {
    return new UpstreamItem.Engine(
        new ModelName(unpacker.unpackString()),
        unpacker.unpackInt(),
        unpacker.unpackInt(),
        unpacker.unpackBoolean());
  }

  private static void writeNames(Collection<?> names, MessagePacker packer) throws IOException {
    packer.packArrayHeader(names.size());
    for (Object name : names) {
      packer.packString(name.toString());
    }
  }

  private static <N> Set<N> readNames(MessageUnpacker unpacker, Function<String, N> constructor)
      throws IOException {
    Set<N> names = new HashSet<>();
    int size = unpacker.unpackArrayHeader();
    for (int index = 0; index < size; index++) {
      names.add(constructor.apply(unpacker.unpackString()));
    }
    return names;
  }
}
