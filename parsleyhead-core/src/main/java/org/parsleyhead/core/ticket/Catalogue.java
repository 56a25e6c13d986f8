package org.parsleyhead.core.ticket;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * Everything that tickets have declared, merged item by item.
 *
 * <p>Immutable and thread-safe. For each item the highest ticket number wins, so merging is
 * commutative, associative and idempotent, and no old ticket can revert a newer one. A merge of one
 * item shares all but a logarithmic part with the former catalogue.
 */
public final class Catalogue {

  private static final Catalogue EMPTY = empty(MergeRule.HIGHEST_NUMBER);

  private final MergeRule rule;
  private final PMap<ItemKey, VersionedItem> items;
  private final TicketNumber highest;
  private final BucketDigests digests;
  private final CatalogueIndexes indexes;
  private final Set<UpstreamName> leaving;
  private final ItemPool pool;

  private Catalogue(
      MergeRule rule,
      PMap<ItemKey, VersionedItem> items,
      TicketNumber highest,
      BucketDigests digests,
      CatalogueIndexes indexes,
      Set<UpstreamName> leaving,
      ItemPool pool) {
    this.rule = rule;
    this.items = items;
    this.highest = highest;
    this.digests = digests;
    this.indexes = indexes;
    this.leaving = leaving;
    this.pool = pool;
  }

  /** Returns the catalogue before the first ticket. */
  public static Catalogue empty() {
    return EMPTY;
  }

  static Catalogue empty(MergeRule rule) {
    return new Catalogue(
        rule,
        TreePMap.empty(),
        TicketNumber.NONE,
        BucketDigests.empty(),
        CatalogueIndexes.empty(),
        Set.of(),
        ItemPool.EMPTY);
  }

  /** Returns the catalogue after a ticket; all of its changes are visible or none. */
  public Catalogue merge(Ticket ticket) {
    Catalogue merged = this;
    for (Change change : ticket.changes()) {
      merged = merged.merge(change.key(), new VersionedItem(ticket.number(), change.item()));
    }
    return new Catalogue(
        rule,
        merged.items,
        later(highest, ticket.number()),
        merged.digests,
        merged.indexes,
        leaving,
        merged.pool);
  }

  /** Returns the catalogue after one item was heard of; older news changes nothing. */
  public Catalogue merge(ItemKey key, VersionedItem heard) {
    VersionedItem known = items.get(key);
    if (known != null && !rule.replaces(heard.number(), known.number())) {
      return this;
    }
    TicketNumber before = known == null ? TicketNumber.NONE : known.number();
    Optional<Item> former = known == null ? Optional.empty() : known.item();
    TicketNumber latest = later(highest, heard.number());
    TicketNumber number = latest.equals(heard.number()) ? latest : heard.number();
    ItemPool pooled = pool.plus(heard.item());
    VersionedItem shared = new VersionedItem(number, pooled.share(heard.item()));
    return new Catalogue(
        rule,
        items.plus(key, shared),
        latest,
        digests.replace(key, before, number),
        indexes.replace(former, shared.item()),
        leaving,
        pooled);
  }

  /** Returns this catalogue with a set of upstreams that the host list declares as leaving. */
  public Catalogue withLeaving(Set<UpstreamName> upstreams) {
    return new Catalogue(rule, items, highest, digests, indexes, Set.copyOf(upstreams), pool);
  }

  /** Returns the highest ticket number heard of. */
  public TicketNumber highest() {
    return highest;
  }

  /** Returns the digests of all items, tombstones included. */
  public BucketDigests digests() {
    return digests;
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

  /** Returns all declared adapters, in no order. The cost grows with the number of items. */
  public Stream<AdapterItem> adapters() {
    return items.values().stream()
        .flatMap(versioned -> versioned.item().stream())
        .filter(AdapterItem.class::isInstance)
        .map(AdapterItem.class::cast);
  }

  /**
   * Returns the route with the longest prefix of a path. A prefix ends at a slash or at the end of
   * the path.
   */
  public Optional<RouteItem> route(String path) {
    return indexes.route(path);
  }

  /** Returns an upstream, if it is declared; leaving if a ticket or the host list says so. */
  public Optional<UpstreamItem> upstream(UpstreamName name) {
    return find(UpstreamItem.keyOf(name)).map(UpstreamItem.class::cast).map(this::fold);
  }

  /** Returns all upstreams; leaving if a ticket or the host list says so. */
  public List<UpstreamItem> upstreams() {
    return fold(indexes.upstreams());
  }

  /** Returns the model servers of a base model by name; leaving as {@link #upstreams()} says. */
  public List<UpstreamItem> engines(ModelName baseModel) {
    return fold(indexes.engines(baseModel));
  }

  /** Returns the items of a set of buckets, tombstones included. */
  List<HeardItem> itemsIn(Set<Integer> buckets) {
    List<HeardItem> found = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (buckets.contains(BucketDigests.bucketOf(key))) {
            found.add(new HeardItem(key, item));
          }
        });
    return found;
  }

  private List<UpstreamItem> fold(Collection<UpstreamItem> upstreams) {
    return upstreams.stream().map(this::fold).toList();
  }

  private UpstreamItem fold(UpstreamItem upstream) {
    boolean leavesByList = !upstream.leaving() && leaving.contains(upstream.name());
    return leavesByList ? upstream.asLeaving() : upstream;
  }

  private Optional<Item> find(ItemKey key) {
    return Optional.ofNullable(items.get(key)).flatMap(VersionedItem::item);
  }

  private static TicketNumber later(TicketNumber one, TicketNumber other) {
    return one.supersedes(other) ? one : other;
  }
}
