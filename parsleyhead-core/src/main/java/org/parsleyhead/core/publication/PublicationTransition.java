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
 * <p>When the era of the store increases, the store was restored from a copy: all items are listed
 * again, and what was in force remains so until the new era shows something newer or the
 * confirmation time ends ({@link FormerItem}).
 *
 * <p>A connection can go silent without an error, for all hosts at one moment. A reader therefore
 * has a read answered within the timeout of a watch and the answer delay, or starts another one on
 * a new connection; the answer of a watch is taken whenever it comes, since what it holds remains
 * true.
 */
public final class PublicationTransition
    implements Transition<PublicationState, PublicationEvent, PublicationEffect> {

  private final PublicationSettings settings;
  private final EraMerge eras;

  /**
   * Creates the transition.
   *
   * @param settings the timing
   * @param versions reads the versions of items, which a restored store does not set back
   */
  public PublicationTransition(PublicationSettings settings, ItemVersions versions) {
    this.settings = Preconditions.requireNonNull(settings, "settings");
    this.eras = new EraMerge(Preconditions.requireNonNull(versions, "versions"));
  }

  @Override
  public Step<PublicationState, PublicationEffect> apply(
      PublicationState state, PublicationEvent event, MonotonicTime time) {
    Step<PublicationState, PublicationEffect> step = decide(state, event, time);
    boolean advanced =
        step.state().era() == state.era() && step.state().revision() > state.revision();
    return advanced ? new Step<>(step.state().withRevisionAdvancedAt(time), step.effects()) : step;
  }

  private Step<PublicationState, PublicationEffect> decide(
      PublicationState state, PublicationEvent event, MonotonicTime time) {
    if (event instanceof PublicationEvent.StoreAnswer answer) {
      return storeAnswered(state, answer, time);
    }
    return event instanceof PublicationEvent.ReadFailed failed
            && failed.readNumber() == state.reads().readNumber()
        ? readFailed(state, failed.reason(), time)
        : decideOther(state, event, time);
  }

  private Step<PublicationState, PublicationEffect> storeAnswered(
      PublicationState state, PublicationEvent.StoreAnswer answer, MonotonicTime time) {
    boolean current = answer.readNumber() == state.reads().readNumber();
    if (answer.era() < state.era()) {
      PublicationEffect lower = new PublicationEffect.EraLower("store", answer.era(), state.era());
      return current && state.reads().startedAt().isPresent()
          ? Step.of(state, lower).andThen(next -> readFailed(next, "lower era", time))
          : Step.of(state, lower);
    }
    if (answer.era() > state.era()) {
      boolean firstPage =
          current
              && answer instanceof PublicationEvent.PageRead
              && state.reads().listing().filter(StoreReads.Listing.START::equals).isPresent();
      return firstPage
          ? increaseEra(state, answer.era(), "listing", state.reads(), time)
              .andThen(next -> takeAnswer(next, answer, time))
          : increaseEra(state, answer.era(), "store", state.reads().withNewEra(time), time)
              .andThen(next -> markAnswered(next, time))
              .andThen(next -> startRead(next, time));
    }
    return answer.readNumber() < state.storeEra().firstRead()
        ? Step.of(state)
        : takeAnswer(state, answer, time);
  }

  /** Returns the state in which nothing of a higher era is known yet. */
  private static Step<PublicationState, PublicationEffect> increaseEra(
      PublicationState state, long era, String source, StoreReads reads, MonotonicTime time) {
    PublicationState next = state.withEra(era, reads.readNumber(), reads, time);
    return Step.of(
        next,
        new PublicationEffect.EraIncreased(
            source, state.era(), era, state.revision(), next.storeEra().former().size()));
  }

  private Step<PublicationState, PublicationEffect> takeAnswer(
      PublicationState state, PublicationEvent.StoreAnswer event, MonotonicTime time) {
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
    return Step.of(state);
  }

  private Step<PublicationState, PublicationEffect> decideOther(
      PublicationState state, PublicationEvent event, MonotonicTime time) {
    if (event instanceof PublicationEvent.PeerRevision peer) {
      return peerRevision(state, peer, time);
    }
    if (event instanceof PublicationEvent.UpdateRequested request) {
      return updateRequested(state, request, time);
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
        .andThen(next -> endConfirmation(next, time))
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

  private Step<PublicationState, PublicationEffect> merge(
      PublicationState state,
      List<PublishedItem> items,
      String source,
      MergeRule rule,
      MonotonicTime time) {
    PMap<String, PublishedItem> next = state.items();
    StoreEra era = state.storeEra();
    List<String> outdated = new ArrayList<>();
    Map<String, PublishedItem> changed = new LinkedHashMap<>();
    List<PublishedItem> ignored = new ArrayList<>();
    for (PublishedItem item : items) {
      Optional<PublishedItem> known = Optional.ofNullable(next.get(item.key()));
      if (rule.accepts(known, item)) {
        next = next.plus(item.key(), item);
        EraMerge.Decision decision = eras.take(era, known, item);
        era = decision.era();
        if (decision.effect() == EraMerge.Effect.CHANGE) {
          changed.put(item.key(), item);
        } else if (decision.effect() == EraMerge.Effect.NONE) {
          outdated.add(item.key());
        }
      } else if (known.isEmpty()) {
        ignored.add(item);
      }
    }
    List<PublicationEffect> effects = new ArrayList<>();
    if (!ignored.isEmpty()) {
      effects.add(new PublicationEffect.Ignored(ignored, source, state.revision()));
    }
    if (!outdated.isEmpty()) {
      effects.add(new PublicationEffect.Outdated(outdated, source, state.era()));
    }
    if (!changed.isEmpty()) {
      effects.add(
          new PublicationEffect.Changed(
              List.copyOf(changed.values()), source, state.reads().silence(time)));
    }
    return new Step<>(
        next == state.items() ? state : state.withItems(next).withStoreEra(era), effects);
  }

  /** Ends the confirmation time once the copy is known to be complete up to its end. */
  private Step<PublicationState, PublicationEffect> endConfirmation(
      PublicationState state, MonotonicTime time) {
    Optional<MonotonicTime> end =
        state.storeEra().increasedAt().map(at -> at.plus(settings.confirmationTime()));
    boolean due = end.isPresent() && state.complete() && state.readSince(end.get());
    if (!due) {
      return Step.of(state);
    }
    EraMerge.Changes changes = eras.confirm(state.storeEra(), state.items(), state.revision());
    List<PublishedItem> changed = changes.items();
    List<PublicationEffect> effects = new ArrayList<>();
    if (!changed.isEmpty()) {
      effects.add(
          new PublicationEffect.Changed(changed, "confirmation", state.reads().silence(time)));
    }
    List<String> deleted =
        changed.stream().filter(item -> item.value().isEmpty()).map(PublishedItem::key).toList();
    effects.add(
        new PublicationEffect.EraConfirmed(
            state.era(), deleted, changed.size() - deleted.size(), changes.era().former().size()));
    return new Step<>(state.withStoreEra(changes.era()), effects);
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
            ? !state.complete() || item.revision() > state.revision()
            : item.isNewerThan(known.get());
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
        .map(item -> new PublishedItem(item.key(), state.era(), revision, Optional.empty()))
        .toList();
  }

  private Step<PublicationState, PublicationEffect> peerRevision(
      PublicationState state, PublicationEvent.PeerRevision peer, MonotonicTime time) {
    if (peer.era() > state.era()) {
      return increaseEraFromPeer(state, peer.era(), peer.host(), time)
          .andThen(next -> peerRevision(next, peer, time));
    }
    return peer.era() < state.era()
        ? Step.of(state)
        : inquire(state, peer, time).andThen(next -> requestChanges(next, peer, time));
  }

  private Step<PublicationState, PublicationEffect> requestChanges(
      PublicationState state, PublicationEvent.PeerRevision peer, MonotonicTime time) {
    if (peer.revision() <= state.revision()) {
      return Step.of(state);
    }
    MonotonicTime since = state.peerAheadSince().orElse(time);
    boolean requestUpdate =
        !state.reader()
            || !state.complete()
            || time.since(since).compareTo(settings.peerUpdateDelay()) >= 0;
    return requestUpdate
        ? Step.of(
            state.withPeerAheadSince(Optional.of(time)),
            new PublicationEffect.RequestUpdate(peer.host(), state.era(), state.revision()))
        : Step.of(state.withPeerAheadSince(Optional.of(since)));
  }

  /** Requests what remains of former eras, which a host that started later cannot know. */
  private Step<PublicationState, PublicationEffect> inquire(
      PublicationState state, PublicationEvent.PeerRevision peer, MonotonicTime time) {
    FormerInquiry inquiry = state.storeEra().inquiry();
    return state.complete() && inquiry.due(settings.peerUpdateDelay(), time)
        ? Step.of(
            state.withStoreEra(state.storeEra().withInquiry(inquiry.sent(time))),
            new PublicationEffect.RequestUpdate(peer.host(), state.era(), 0))
        : Step.of(state);
  }

  private Step<PublicationState, PublicationEffect> takeFormer(
      PublicationState state, PublicationEvent.UpdateReceived update, MonotonicTime time) {
    FormerCopy former = update.former();
    if (state.storeEra().formerKnown() || !former.known()) {
      return Step.of(state);
    }
    Duration left =
        Duration.ofMillis(
            Math.min(
                former.confirmationLeftMilliseconds(), settings.confirmationTime().toMillis()));
    Optional<MonotonicTime> learnedAt =
        left.isZero()
            ? Optional.empty()
            : Optional.of(time.minus(settings.confirmationTime().minus(left)));
    EraMerge.Changes changes = eras.takeFormer(state.storeEra(), former, learnedAt, state.items());
    PublicationState next = state.withStoreEra(changes.era());
    return changes.items().isEmpty()
        ? Step.of(next)
        : Step.of(
            next,
            new PublicationEffect.Changed(
                changes.items(), "peer=" + update.host(), state.reads().silence(time)));
  }

  /** Takes a higher era from another host; a reader lists the items of the store itself too. */
  private Step<PublicationState, PublicationEffect> increaseEraFromPeer(
      PublicationState state, long era, String host, MonotonicTime time) {
    return increaseEra(state, era, "peer=" + host, state.reads().withNewEra(time), time)
        .andThen(next -> startRead(next, time));
  }

  private Step<PublicationState, PublicationEffect> updateRequested(
      PublicationState state, PublicationEvent.UpdateRequested request, MonotonicTime time) {
    return request.era() > state.era()
        ? increaseEraFromPeer(state, request.era(), request.host(), time)
        : Step.of(state, updateFor(state, request, time));
  }

  /**
   * Returns the update for another host. It holds the whole copy if this one lacks deletions that
   * the other host may have missed too, or if the other host knows only a former era.
   */
  private PublicationEffect updateFor(
      PublicationState state, PublicationEvent.UpdateRequested request, MonotonicTime time) {
    long afterRevision =
        request.era() < state.era() || request.afterRevision() < state.deletionsKnownFrom()
            ? 0
            : request.afterRevision();
    List<PublishedItem> items =
        state.items().values().stream()
            .filter(item -> item.revision() > afterRevision)
            .sorted(Comparator.comparingLong(PublishedItem::revision))
            .toList();
    return new PublicationEffect.SendUpdate(
        request.host(),
        state.era(),
        items,
        afterRevision,
        state.revision(),
        afterRevision == 0
            ? state.storeEra().formerCopy(settings.confirmationTime(), time)
            : FormerCopy.UNKNOWN);
  }

  /** Merges an update from another host, whose whole copy is as good as a listing. */
  private Step<PublicationState, PublicationEffect> updateReceived(
      PublicationState state, PublicationEvent.UpdateReceived update, MonotonicTime time) {
    String source = "peer=" + update.host();
    if (update.era() < state.era()) {
      return Step.of(state, new PublicationEffect.EraLower(source, update.era(), state.era()));
    }
    if (update.era() > state.era()) {
      Step<PublicationState, PublicationEffect> increased =
          increaseEraFromPeer(state, update.era(), update.host(), time)
              .andThen(next -> updateReceived(next, update, time));
      return increased.state().complete()
          ? increased
          : increased.andThen(
              next ->
                  Step.of(next, new PublicationEffect.RequestUpdate(update.host(), next.era(), 0)));
    }
    long revision = update.revision();
    PublicationState current = state.withPeerAheadSince(Optional.empty());
    if (!update.wholeCopy()) {
      return merge(current, update.items(), source, changed(state), time)
          .andThen(next -> Step.of(afterChanges(next, update)));
    }
    Step<PublicationState, PublicationEffect> merged =
        merge(current, update.items(), source, inPage(state, revision), time);
    if (revision <= state.revision()) {
      return merged.andThen(next -> takeFormer(next, update, time));
    }
    Set<String> keys =
        update.items().stream()
            .filter(item -> item.value().isPresent())
            .map(PublishedItem::key)
            .collect(Collectors.toUnmodifiableSet());
    return merged
        .andThen(next -> merge(next, deletions(next, revision, keys), source, changed(next), time))
        .andThen(next -> Step.of(completeTo(next.withDeletionsKnownFrom(revision), revision)))
        .andThen(next -> takeFormer(next, update, time));
  }

  /**
   * Returns the state after the changes of another host. They make the copy complete only if it was
   * complete up to the revision after which they begin; a process that has just started may receive
   * what its predecessor has requested.
   */
  private static PublicationState afterChanges(
      PublicationState state, PublicationEvent.UpdateReceived update) {
    return state.complete() && update.afterRevision() <= state.revision()
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
