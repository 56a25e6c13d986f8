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
 * The declared items of all merged tickets.
 *
 * <p>Immutable and thread-safe. For each item the highest ticket number wins; merging is therefore
 * commutative, associative and idempotent, and an older ticket never reverts a newer one. Merging
 * one item shares all but a logarithmic part of the structure with the previous catalogue.
 */
public final class Catalogue {

  private static final Catalogue EMPTY = empty(MergeRule.HIGHEST_NUMBER);

  private final MergeRule rule;
  private final PMap<ItemKey, VersionedItem> items;
  private final TicketNumber highestTicketNumber;
  private final BucketDigests digests;
  private final CatalogueIndexes indexes;
  private final Set<UpstreamName> leavingUpstreams;
  private final ItemPool pool;

  private Catalogue(
      MergeRule rule,
      PMap<ItemKey, VersionedItem> items,
      TicketNumber highestTicketNumber,
      BucketDigests digests,
      CatalogueIndexes indexes,
      Set<UpstreamName> leavingUpstreams,
      ItemPool pool) {
    this.rule = rule;
    this.items = items;
    this.highestTicketNumber = highestTicketNumber;
    this.digests = digests;
    this.indexes = indexes;
    this.leavingUpstreams = leavingUpstreams;
    this.pool = pool;
  }

  /** Returns a catalogue without items. */
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

  /** Merges all changes of a ticket; a catalogue with only some of them is never returned. */
  public Catalogue merge(Ticket ticket) {
    Catalogue merged = this;
    for (Change change : ticket.changes()) {
      merged = merged.merge(change.key(), new VersionedItem(ticket.number(), change.item()));
    }
    return new Catalogue(
        rule,
        merged.items,
        higherOf(highestTicketNumber, ticket.number()),
        merged.digests,
        merged.indexes,
        leavingUpstreams,
        merged.pool);
  }

  /** Merges one item; returns this catalogue if it already has the same or a newer state of it. */
  public Catalogue merge(ItemKey key, VersionedItem received) {
    VersionedItem known = items.get(key);
    if (known != null && !rule.replaces(received.number(), known.number())) {
      return this;
    }
    TicketNumber previousNumber = known == null ? TicketNumber.NONE : known.number();
    Optional<Item> previousItem = known == null ? Optional.empty() : known.item();
    TicketNumber latest = higherOf(highestTicketNumber, received.number());
    TicketNumber number = latest.equals(received.number()) ? latest : received.number();
    ItemPool pooled = pool.plus(received.item());
    VersionedItem shared = new VersionedItem(number, pooled.share(received.item()));
    return new Catalogue(
        rule,
        items.plus(key, shared),
        latest,
        digests.replace(key, previousNumber, number),
        indexes.replace(previousItem, shared.item()),
        leavingUpstreams,
        pooled);
  }

  /** Returns this catalogue with the upstreams that the host list declares as leaving. */
  public Catalogue withLeaving(Set<UpstreamName> upstreams) {
    return new Catalogue(
        rule, items, highestTicketNumber, digests, indexes, Set.copyOf(upstreams), pool);
  }

  /** Returns the highest ticket number of all merged tickets and items. */
  public TicketNumber highestTicketNumber() {
    return highestTicketNumber;
  }

  /** Returns the digests of all items, including tombstones. */
  public BucketDigests digests() {
    return digests;
  }

  /** Returns all items, including tombstones. */
  public PMap<ItemKey, VersionedItem> items() {
    return items;
  }

  /** Returns a client account, if it is declared. */
  public Optional<ClientAccountItem> clientAccount(ClientAccountName name) {
    return find(ClientAccountItem.keyOf(name)).map(ClientAccountItem.class::cast);
  }

  /** Returns a key by its digest, if it is declared and not revoked. */
  public Optional<KeyItem> keyByDigest(String digest) {
    return find(KeyItem.keyOf(digest)).map(KeyItem.class::cast);
  }

  /** Returns an adapter, if it is declared. */
  public Optional<AdapterItem> adapter(AdapterName name) {
    return find(AdapterItem.keyOf(name)).map(AdapterItem.class::cast);
  }

  /** Returns all declared adapters, in no particular order. Linear in the number of items. */
  public Stream<AdapterItem> adapters() {
    return items.values().stream()
        .flatMap(versioned -> versioned.item().stream())
        .filter(AdapterItem.class::isInstance)
        .map(AdapterItem.class::cast);
  }

  /**
   * Returns the route with the longest matching path prefix. A prefix matches only if it ends at a
   * slash or at the end of the path.
   */
  public Optional<RouteItem> route(String path) {
    return indexes.route(path);
  }

  /**
   * Returns an upstream, if it is declared; leaving if a ticket or the host list declares it so.
   */
  public Optional<UpstreamItem> upstream(UpstreamName name) {
    return find(UpstreamItem.keyOf(name))
        .map(UpstreamItem.class::cast)
        .map(this::withLeavingStatus);
  }

  /** Returns all upstreams; leaving if a ticket or the host list declares them so. */
  public List<UpstreamItem> upstreams() {
    return withLeavingStatus(indexes.upstreams());
  }

  /** Returns the model servers of a base model, ordered by name; see {@link #upstreams()}. */
  public List<UpstreamItem> engines(ModelName baseModel) {
    return withLeavingStatus(indexes.engines(baseModel));
  }

  /** Returns the items of a set of buckets, including tombstones. */
  List<CatalogueEntry> itemsIn(Set<Integer> buckets) {
    List<CatalogueEntry> found = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (buckets.contains(BucketDigests.bucketOf(key))) {
            found.add(new CatalogueEntry(key, item));
          }
        });
    return found;
  }

  private List<UpstreamItem> withLeavingStatus(Collection<UpstreamItem> upstreams) {
    return upstreams.stream().map(this::withLeavingStatus).toList();
  }

  private UpstreamItem withLeavingStatus(UpstreamItem upstream) {
    boolean leavingByHostList = !upstream.leaving() && leavingUpstreams.contains(upstream.name());
    return leavingByHostList ? upstream.asLeaving() : upstream;
  }

  private Optional<Item> find(ItemKey key) {
    return Optional.ofNullable(items.get(key)).flatMap(VersionedItem::item);
  }

  private static TicketNumber higherOf(TicketNumber one, TicketNumber other) {
    return one.supersedes(other) ? one : other;
  }
}
