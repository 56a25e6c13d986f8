package org.parsleyhead.core.publication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.pcollections.PMap;

/**
 * Maintains the copy of the published items: lists them, watches for changes, lists again when the
 * platform has dropped the history, and exchanges changes with other hosts.
 *
 * <p>Immutable and thread-safe. For each key the item with the highest revision wins, so that a
 * stale read or an old update never reverts a newer change.
 *
 * <p>A connection can go silent without an error, for all hosts at one moment. A reader therefore
 * has a read answered within the timeout of a watch and the answer delay, or starts another one on
 * a new connection; the answer of a watch is taken whenever it comes, since what it holds remains
 * true.
 */
public final class PublicationTransition
    implements Transition<PublicationState, PublicationEvent, PublicationEffect> {

  private final PublicationSettings settings;

  /** Creates the transition with the given settings. */
  public PublicationTransition(PublicationSettings settings) {
    this.settings = Preconditions.requireNonNull(settings, "settings");
  }

  @Override
  public Step<PublicationState, PublicationEffect> apply(
      PublicationState state, PublicationEvent event, MonotonicTime time) {
    Step<PublicationState, PublicationEffect> step = decide(state, event, time);
    return step.state().revision() > state.revision()
        ? new Step<>(step.state().withRevisionAdvancedAt(time), step.effects())
        : step;
  }

  private Step<PublicationState, PublicationEffect> decide(
      PublicationState state, PublicationEvent event, MonotonicTime time) {
    if (event instanceof PublicationEvent.PageRead page
        && page.readNumber() == state.reads().readNumber()) {
      return markAnswered(state, time).andThen(next -> pageRead(next, page, time));
    }
    if (event instanceof PublicationEvent.WatchReturned returned) {
      return markAnswered(state, time).andThen(next -> watchReturned(next, returned, time));
    }
    if (event instanceof PublicationEvent.HistoryDropped dropped
        && dropped.readNumber() == state.reads().readNumber()) {
      PublicationState relisting = state.withReads(reads -> reads.withNewListing(time));
      return markAnswered(relisting, time).andThen(next -> startRead(next, time));
    }
    if (event instanceof PublicationEvent.ReadFailed failed
        && failed.readNumber() == state.reads().readNumber()) {
      return readFailed(state, failed.reason(), time);
    }
    if (event instanceof PublicationEvent.PeerRevision peer) {
      return peerRevision(state, peer, time);
    }
    if (event instanceof PublicationEvent.UpdateRequested request) {
      return Step.of(state, updateFor(state, request));
    }
    if (event instanceof PublicationEvent.UpdateReceived received) {
      return updateReceived(state, received, time);
    }
    if (event instanceof PublicationEvent.ReaderRole role) {
      return Step.of(state.withReader(role.reader()));
    }
    return event instanceof PublicationEvent.Tick ? tick(state, time) : Step.of(state);
  }

  private Step<PublicationState, PublicationEffect> tick(
      PublicationState state, MonotonicTime time) {
    return reportSilence(state, time)
        .andThen(next -> endOverdueRead(next, time))
        .andThen(next -> startRead(next, time));
  }

  private Step<PublicationState, PublicationEffect> endOverdueRead(
      PublicationState state, MonotonicTime time) {
    StoreReads reads = state.reads();
    boolean listing = reads.listing().isPresent();
    Duration limit =
        listing ? settings.readTimeout() : settings.watchTimeout().plus(settings.answerDelay());
    boolean overdue =
        reads.startedAt().isPresent() && time.since(reads.startedAt().get()).compareTo(limit) >= 0;
    if (!overdue) {
      return Step.of(state);
    }
    return listing
        ? readFailed(state, "no answer", time)
        : Step.of(state.withReads(read -> read.withLateAnswer(nextWatchAt(state, time))));
  }

  /** Returns when to watch again after a watch that brought nothing. */
  private MonotonicTime nextWatchAt(PublicationState state, MonotonicTime time) {
    return state.reader() ? time : time.plus(settings.nonReaderTimeout());
  }

  private Step<PublicationState, PublicationEffect> reportSilence(
      PublicationState state, MonotonicTime time) {
    Duration silence = state.reads().silence(time);
    return state.reads().startedAt().isEmpty()
            || state.reads().silenceReported()
            || silence.compareTo(settings.silenceReportDelay()) < 0
        ? Step.of(state)
        : Step.of(
            state.withReads(StoreReads::withSilenceReported),
            new PublicationEffect.PlatformSilent(silence, state.revision()));
  }

  private Step<PublicationState, PublicationEffect> startRead(
      PublicationState state, MonotonicTime time) {
    Optional<MonotonicTime> next = state.reads().nextReadAt();
    boolean due = next.isPresent() && !time.isBefore(next.get());
    boolean quiet =
        time.since(state.revisionAdvancedAt()).compareTo(settings.nonReaderTimeout()) > 0;
    if (!due || !state.reader() && !quiet) {
      return Step.of(state);
    }
    PublicationState started = state.withReads(reads -> reads.withStarted(time));
    int readNumber = started.reads().readNumber();
    int connection = started.reads().connection();
    PublicationEffect effect =
        started
            .reads()
            .listing()
            .<PublicationEffect>map(
                listing ->
                    new PublicationEffect.ReadPage(readNumber, connection, listing.afterKey()))
            .orElseGet(
                () ->
                    new PublicationEffect.Watch(
                        readNumber, connection, started.revision(), settings.watchTimeout()));
    return Step.of(started, effect);
  }

  private Step<PublicationState, PublicationEffect> pageRead(
      PublicationState state, PublicationEvent.PageRead page, MonotonicTime time) {
    StoreReads.Listing listing = state.reads().listing().orElse(StoreReads.Listing.START);
    List<String> keys = page.items().stream().map(PublishedItem::key).toList();
    long firstRevision = listing.firstRevision() == 0 ? page.revision() : listing.firstRevision();
    StoreReads.Listing next =
        new StoreReads.Listing(
            keys.isEmpty() ? listing.afterKey() : keys.get(keys.size() - 1),
            firstRevision,
            listing.seenKeys().plusAll(keys));
    Step<PublicationState, PublicationEffect> merged =
        merge(state, page.items(), "listing", inPage(state, page.revision()), time);
    if (page.hasMore() && !keys.isEmpty()) {
      return merged.andThen(
          read ->
              startRead(
                  read.withReads(reads -> reads.withListing(Optional.of(next)).withNextAt(time)),
                  time));
    }
    return merged
        .andThen(
            read ->
                merge(
                    read,
                    deletions(read, firstRevision, next.seenKeys()),
                    "listing",
                    changed(read),
                    time))
        .andThen(
            read ->
                startRead(
                    read.withRevision(firstRevision)
                        .withDeletionsKnownFrom(firstRevision)
                        .withReads(reads -> reads.withListing(Optional.empty()).withNextAt(time)),
                    time));
  }

  private Step<PublicationState, PublicationEffect> watchReturned(
      PublicationState state, PublicationEvent.WatchReturned returned, MonotonicTime time) {
    Step<PublicationState, PublicationEffect> merged =
        merge(state, returned.changes(), "watch", changed(state), time)
            .andThen(
                read ->
                    Step.of(
                        read.withRevision(returned.revision())
                            .withPeerAheadSince(Optional.empty())));
    if (returned.readNumber() != state.reads().readNumber()) {
      return merged;
    }
    MonotonicTime next =
        returned.changes().isEmpty() ? nextWatchAt(state, time) : time.plus(settings.batchDelay());
    return merged
        .andThen(read -> Step.of(read.withReads(reads -> reads.withNextAt(next))))
        .andThen(read -> startRead(read, time));
  }

  private Step<PublicationState, PublicationEffect> readFailed(
      PublicationState state, String reason, MonotonicTime time) {
    PublicationState next =
        state.withReads(reads -> reads.withFailure(time.plus(settings.retryDelay())));
    return state.reads().reachable()
        ? Step.of(next, reachability(state, false, reason, time))
        : Step.of(next);
  }

  private static Step<PublicationState, PublicationEffect> markAnswered(
      PublicationState state, MonotonicTime time) {
    StoreReads reads = state.reads();
    PublicationState next = state.withReads(before -> before.withAnswer(time));
    return reads.reachable() && !reads.silenceReported()
        ? Step.of(next)
        : Step.of(next, reachability(state, true, "read succeeded", time));
  }

  private static PublicationEffect reachability(
      PublicationState state, boolean reachable, String reason, MonotonicTime time) {
    return new PublicationEffect.Reachability(
        reachable, reason, state.reads().silence(time), state.revision());
  }

  private static Step<PublicationState, PublicationEffect> merge(
      PublicationState state,
      List<PublishedItem> items,
      String source,
      MergeRule rule,
      MonotonicTime time) {
    PMap<String, PublishedItem> next = state.items();
    Map<String, PublishedItem> changed = new LinkedHashMap<>();
    List<PublishedItem> ignored = new ArrayList<>();
    for (PublishedItem item : items) {
      Optional<PublishedItem> known = Optional.ofNullable(next.get(item.key()));
      if (rule.accepts(known, item)) {
        next = next.plus(item.key(), item);
        changed.put(item.key(), item);
      } else if (known.isEmpty()) {
        ignored.add(item);
      }
    }
    List<PublicationEffect> effects = new ArrayList<>();
    if (!ignored.isEmpty()) {
      effects.add(new PublicationEffect.Ignored(ignored, source, state.revision()));
    }
    if (!changed.isEmpty()) {
      effects.add(
          new PublicationEffect.Changed(
              List.copyOf(changed.values()), source, state.reads().silence(time)));
    }
    return new Step<>(changed.isEmpty() ? state : state.withItems(next), effects);
  }

  /** Decides whether an item replaces what the copy holds for its key. */
  @FunctionalInterface
  private interface MergeRule {
    boolean accepts(Optional<PublishedItem> known, PublishedItem item);
  }

  /**
   * Returns the rule for changes. An unknown item that is not newer than the revision up to which
   * the copy is complete has been deleted: it comes from a host that has missed the deletion.
   */
  private static MergeRule changed(PublicationState state) {
    return (known, item) ->
        known.isEmpty()
            ? !state.initialized() || item.revision() > state.revision()
            : known.get().revision() < item.revision();
  }

  /**
   * Returns the rule for the items of a page at a revision. A page that is not older than the copy
   * or its deletion of an item shows that the item exists.
   */
  private static MergeRule inPage(PublicationState state, long pageRevision) {
    MergeRule changed = changed(state);
    return (known, item) ->
        changed.accepts(known, item)
            || known
                .map(copy -> copy.value().isEmpty() && copy.revision() <= pageRevision)
                .orElse(state.revision() <= pageRevision);
  }

  /** Returns deletions, at a revision, of the older items of a copy that are not among the keys. */
  private static List<PublishedItem> deletions(
      PublicationState state, long revision, Set<String> keys) {
    return state.items().values().stream()
        .filter(item -> item.value().isPresent())
        .filter(item -> item.revision() < revision)
        .filter(item -> !keys.contains(item.key()))
        .map(item -> new PublishedItem(item.key(), revision, Optional.empty()))
        .toList();
  }

  private Step<PublicationState, PublicationEffect> peerRevision(
      PublicationState state, PublicationEvent.PeerRevision peer, MonotonicTime time) {
    if (peer.revision() <= state.revision()) {
      return Step.of(state);
    }
    MonotonicTime since = state.peerAheadSince().orElse(time);
    boolean requestUpdate =
        !state.reader()
            || !state.initialized()
            || time.since(since).compareTo(settings.peerUpdateDelay()) >= 0;
    return requestUpdate
        ? Step.of(
            state.withPeerAheadSince(Optional.of(time)),
            new PublicationEffect.RequestUpdate(peer.host(), state.revision()))
        : Step.of(state.withPeerAheadSince(Optional.of(since)));
  }

  /**
   * Returns the update for another host. It holds the whole copy if this one lacks deletions that
   * the other host may have missed too.
   */
  private static PublicationEffect updateFor(
      PublicationState state, PublicationEvent.UpdateRequested request) {
    long afterRevision =
        request.afterRevision() < state.deletionsKnownFrom() ? 0 : request.afterRevision();
    List<PublishedItem> items =
        state.items().values().stream()
            .filter(item -> item.revision() > afterRevision)
            .sorted(Comparator.comparingLong(PublishedItem::revision))
            .toList();
    return new PublicationEffect.SendUpdate(request.host(), items, afterRevision, state.revision());
  }

  /** Merges an update from another host, whose whole copy is as good as a listing. */
  private static Step<PublicationState, PublicationEffect> updateReceived(
      PublicationState state, PublicationEvent.UpdateReceived update, MonotonicTime time) {
    String source = "peer=" + update.host();
    long revision = update.revision();
    PublicationState current = state.withPeerAheadSince(Optional.empty());
    if (!update.wholeCopy()) {
      return merge(current, update.items(), source, changed(state), time)
          .andThen(next -> Step.of(afterChanges(next, update)));
    }
    Step<PublicationState, PublicationEffect> merged =
        merge(current, update.items(), source, inPage(state, revision), time);
    if (revision <= state.revision()) {
      return merged;
    }
    Set<String> keys =
        update.items().stream()
            .filter(item -> item.value().isPresent())
            .map(PublishedItem::key)
            .collect(Collectors.toUnmodifiableSet());
    return merged
        .andThen(next -> merge(next, deletions(next, revision, keys), source, changed(next), time))
        .andThen(next -> Step.of(completeTo(next.withDeletionsKnownFrom(revision), revision)));
  }

  /**
   * Returns the state after the changes of another host. They make the copy complete only if it was
   * complete up to the revision after which they begin; a process that has just started may receive
   * what its predecessor has requested.
   */
  private static PublicationState afterChanges(
      PublicationState state, PublicationEvent.UpdateReceived update) {
    return state.initialized() && update.afterRevision() <= state.revision()
        ? completeTo(state, update.revision())
        : state;
  }

  /** Returns the state whose copy is complete, so that the next watch continues from there. */
  private static PublicationState completeTo(PublicationState state, long revision) {
    boolean awaitsPage = state.reads().listing().isPresent() && state.reads().startedAt().isEmpty();
    return awaitsPage
        ? state.withRevision(revision).withReads(reads -> reads.withListing(Optional.empty()))
        : state.withRevision(revision);
  }
}
