package org.parsleyhead.core.ticket;

import java.util.Optional;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Everything that tickets have declared, merged item by item.
 *
 * <p>Immutable and thread-safe. For each item the highest ticket number wins, so merging is
 * commutative, associative and idempotent, and no old ticket can revert a newer one.
 */
public final class Catalogue {

  private static final Catalogue EMPTY = new Catalogue(HashTreePMap.empty(), TicketNumber.NONE);

  private final PMap<ItemKey, VersionedItem> items;
  private final TicketNumber highest;

  private Catalogue(PMap<ItemKey, VersionedItem> items, TicketNumber highest) {
    this.items = items;
    this.highest = highest;
  }

  /** Returns the catalogue before the first ticket. */
  public static Catalogue empty() {
    return EMPTY;
  }

  /** Returns the catalogue after a ticket; all of its changes are visible or none. */
  public Catalogue merge(Ticket ticket) {
    Catalogue merged = this;
    for (Change change : ticket.changes()) {
      merged = merged.merge(change.key(), new VersionedItem(ticket.number(), change.item()));
    }
    return new Catalogue(merged.items, later(highest, ticket.number()));
  }

  /** Returns the catalogue after one item was heard of; older news changes nothing. */
  public Catalogue merge(ItemKey key, VersionedItem heard) {
    VersionedItem known = items.get(key);
    if (known != null && !heard.number().supersedes(known.number())) {
      return this;
    }
    return new Catalogue(items.plus(key, heard), later(highest, heard.number()));
  }

  /** Returns the highest ticket number heard of. */
  public TicketNumber highest() {
    return highest;
  }

  /** Returns all items, tombstones included. */
  public PMap<ItemKey, VersionedItem> items() {
    return items;
  }

  /** Returns a client account, if it is declared. */
  public Optional<ClientAccountItem> clientAccount(ClientAccountName name) {
    return find(ClientAccountItem.keyOf(name)).map(ClientAccountItem.class::cast);
  }

  /** Returns a key by its digest, if it is declared and not withdrawn. */
  public Optional<KeyItem> keyByDigest(String digest) {
    return find(KeyItem.keyOf(digest)).map(KeyItem.class::cast);
  }

  /** Returns an adapter, if it is declared. */
  public Optional<AdapterItem> adapter(AdapterName name) {
    return find(AdapterItem.keyOf(name)).map(AdapterItem.class::cast);
  }

  /** Returns an upstream, if it is declared. */
  public Optional<UpstreamItem> upstream(UpstreamName name) {
    return find(UpstreamItem.keyOf(name)).map(UpstreamItem.class::cast);
  }

  private Optional<Item> find(ItemKey key) {
    return Optional.ofNullable(items.get(key)).flatMap(VersionedItem::item);
  }

  private static TicketNumber later(TicketNumber one, TicketNumber other) {
    return one.supersedes(other) ? one : other;
  }
}
