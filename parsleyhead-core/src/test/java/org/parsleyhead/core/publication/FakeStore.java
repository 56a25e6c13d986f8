package org.parsleyhead.core.publication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/**
 * A simulated store of published items on a fake clock, with watches, a bounded history, and times
 * at which it is silent. Confined to one thread.
 *
 * <p>While the store is silent for a host it forgets the watch of that host and the reads that
 * arrive; neither is answered later.
 */
final class FakeStore {

  private static final int PAGE_SIZE = 5;

  private final TreeMap<String, PublishedItem> items = new TreeMap<>();
  private final List<PublishedItem> history = new ArrayList<>();
  private final List<Waiting> watches = new ArrayList<>();
  private long revision = 1;
  private long oldestRevision;
  private long era;
  private int reads;

  private record Waiting(
      String host,
      int readNumber,
      long afterRevision,
      LongPredicate expired,
      Consumer<PublicationEvent> listener) {}

  long revision() {
    return revision;
  }

  int reads() {
    return reads;
  }

  Map<String, PublishedItem> items() {
    return items;
  }

  /** Writes or deletes an item and answers the watches. */
  PublishedItem change(String key, Optional<String> value) {
    revision++;
    PublishedItem item = new PublishedItem(key, era, revision, value);
    if (value.isPresent()) {
      items.put(key, item);
    } else {
      items.remove(key);
    }
    history.add(item);
    List<Waiting> waiting = List.copyOf(watches);
    watches.clear();
    waiting.forEach(this::answerWatch);
    return item;
  }

  /** A copy of the store. Immutable and thread-safe. */
  record Copy(Map<String, PublishedItem> items, long revision) {}

  /** Returns a copy, from which the store can be restored. */
  Copy copy() {
    return new Copy(Map.copyOf(items), revision);
  }

  /** Restores a copy in the next era; open watches remain open. */
  void rollBack(Copy copy) {
    era++;
    revision = copy.revision();
    oldestRevision = revision;
    history.clear();
    items.clear();
    for (PublishedItem item : copy.items().values()) {
      items.put(item.key(), new PublishedItem(item.key(), era, item.revision(), item.value()));
    }
  }

  /** Drops the history; watches that need it are answered at once. */
  void dropHistory() {
    oldestRevision = revision;
    history.clear();
  }

  /** Forgets the watches of the hosts that match; their connections stay open without a word. */
  void forgetWatches(java.util.function.Predicate<String> host) {
    watches.removeIf(waiting -> host.test(waiting.host()));
  }

  void readPage(int readNumber, String afterKey, Consumer<PublicationEvent> listener) {
    reads++;
    List<PublishedItem> page =
        items.tailMap(afterKey, false).values().stream().limit(PAGE_SIZE).toList();
    boolean more = !page.isEmpty() && items.higherKey(page.get(page.size() - 1).key()) != null;
    listener.accept(new PublicationEvent.PageRead(readNumber, era, page, more, revision));
  }

  void watch(
      String host,
      int readNumber,
      long afterRevision,
      LongPredicate expired,
      Consumer<PublicationEvent> listener) {
    reads++;
    answerWatch(new Waiting(host, readNumber, afterRevision, expired, listener));
  }

  /** Answers the watches whose time is over. */
  void expireWatches(long now) {
    List<Waiting> expired =
        watches.stream().filter(waiting -> waiting.expired().test(now)).toList();
    watches.removeAll(expired);
    expired.forEach(
        waiting ->
            waiting
                .listener()
                .accept(
                    new PublicationEvent.WatchReturned(
                        waiting.readNumber(), era, List.of(), revision)));
  }

  private void answerWatch(Waiting waiting) {
    if (waiting.afterRevision() < oldestRevision || waiting.afterRevision() > revision) {
      waiting.listener().accept(new PublicationEvent.HistoryDropped(waiting.readNumber(), era));
      return;
    }
    List<PublishedItem> changes =
        history.stream().filter(item -> item.revision() > waiting.afterRevision()).toList();
    if (changes.isEmpty()) {
      watches.add(waiting);
    } else {
      waiting
          .listener()
          .accept(new PublicationEvent.WatchReturned(waiting.readNumber(), era, changes, revision));
    }
  }
}
