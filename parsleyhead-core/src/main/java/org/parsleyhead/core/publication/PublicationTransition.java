package org.parsleyhead.core.publication;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
        && page.readNumber() == state.readNumber()) {
      return markReachable(state).andThen(next -> pageRead(next, page, time));
    }
    if (event instanceof PublicationEvent.WatchReturned returned
        && returned.readNumber() == state.readNumber()) {
      return markReachable(state).andThen(next -> watchReturned(next, returned, time));
    }
    if (event instanceof PublicationEvent.HistoryDropped dropped
        && dropped.readNumber() == state.readNumber()) {
      PublicationState relisting =
          state.withListing(Optional.of(PublicationState.Listing.START)).withNextReadAt(time);
      return markReachable(relisting).andThen(next -> startRead(next, time));
    }
    if (event instanceof PublicationEvent.ReadFailed failed
        && failed.readNumber() == state.readNumber()) {
      return readFailed(state, failed.reason(), time);
    }
    if (event instanceof PublicationEvent.PeerRevision peer) {
      return peerRevision(state, peer, time);
    }
    if (event instanceof PublicationEvent.UpdateRequested request) {
      return Step.of(state, updateFor(state, request));
    }
    if (event instanceof PublicationEvent.UpdateReceived received) {
      return merge(state, received.items(), "peer=" + received.host())
          .andThen(next -> Step.of(afterUpdate(next, received.revision())));
    }
    if (event instanceof PublicationEvent.ReaderRole role) {
      return Step.of(state.withReader(role.reader()));
    }
    return event instanceof PublicationEvent.Tick ? tick(state, time) : Step.of(state);
  }

  private Step<PublicationState, PublicationEffect> tick(
      PublicationState state, MonotonicTime time) {
    Duration limit =
        state.listing().isPresent()
            ? settings.readTimeout()
            : settings.watchTimeout().plus(settings.readTimeout());
    boolean overdue =
        state.readStartedAt().isPresent()
            && time.since(state.readStartedAt().get()).compareTo(limit) > 0;
    return overdue ? readFailed(state, "no answer", time) : startRead(state, time);
  }

  private Step<PublicationState, PublicationEffect> startRead(
      PublicationState state, MonotonicTime time) {
    boolean due = state.nextReadAt().isPresent() && !time.isBefore(state.nextReadAt().get());
    boolean quiet =
        time.since(state.revisionAdvancedAt()).compareTo(settings.nonReaderTimeout()) > 0;
    if (!due || !state.reader() && !quiet) {
      return Step.of(state);
    }
    PublicationState started = state.withReadStarted(time);
    PublicationEffect effect =
        started.listing().isPresent()
            ? new PublicationEffect.ReadPage(
                started.readNumber(), started.listing().get().afterKey())
            : new PublicationEffect.Watch(
                started.readNumber(), started.revision(), settings.watchTimeout());
    return Step.of(started, effect);
  }

  private Step<PublicationState, PublicationEffect> pageRead(
      PublicationState state, PublicationEvent.PageRead page, MonotonicTime time) {
    PublicationState.Listing listing = state.listing().orElse(PublicationState.Listing.START);
    List<String> keys = page.items().stream().map(PublishedItem::key).toList();
    long firstRevision = listing.firstRevision() == 0 ? page.revision() : listing.firstRevision();
    PublicationState.Listing next =
        new PublicationState.Listing(
            keys.isEmpty() ? listing.afterKey() : keys.get(keys.size() - 1),
            firstRevision,
            listing.seenKeys().plusAll(keys));
    Step<PublicationState, PublicationEffect> merged = merge(state, page.items(), "listing");
    if (page.hasMore() && !keys.isEmpty()) {
      return merged.andThen(
          read -> startRead(read.withListing(Optional.of(next)).withNextReadAt(time), time));
    }
    return merged
        .andThen(read -> merge(read, deletions(read, next), "listing"))
        .andThen(
            read ->
                startRead(
                    read.withListing(Optional.empty())
                        .withRevision(firstRevision)
                        .withNextReadAt(time),
                    time));
  }

  private Step<PublicationState, PublicationEffect> watchReturned(
      PublicationState state, PublicationEvent.WatchReturned returned, MonotonicTime time) {
    MonotonicTime next = returned.changes().isEmpty() ? time : time.plus(settings.batchDelay());
    return merge(state, returned.changes(), "watch")
        .andThen(
            read ->
                Step.of(
                    read.withRevision(returned.revision())
                        .withPeerAheadSince(Optional.empty())
                        .withNextReadAt(next)))
        .andThen(read -> startRead(read, time));
  }

  private Step<PublicationState, PublicationEffect> readFailed(
      PublicationState state, String reason, MonotonicTime time) {
    PublicationState next =
        state
            .withReachable(false)
            .withReadStarted(time)
            .withNextReadAt(time.plus(settings.retryDelay()));
    return state.reachable()
        ? Step.of(next, new PublicationEffect.Reachability(false, reason))
        : Step.of(next);
  }

  private static Step<PublicationState, PublicationEffect> markReachable(PublicationState state) {
    return state.reachable()
        ? Step.of(state)
        : Step.of(
            state.withReachable(true), new PublicationEffect.Reachability(true, "read succeeded"));
  }

  private static Step<PublicationState, PublicationEffect> merge(
      PublicationState state, List<PublishedItem> items, String source) {
    PMap<String, PublishedItem> next = state.items();
    Map<String, PublishedItem> changed = new LinkedHashMap<>();
    for (PublishedItem item : items) {
      PublishedItem known = next.get(item.key());
      boolean newer =
          known == null ? !deletedBefore(state, item) : known.revision() < item.revision();
      if (newer) {
        next = next.plus(item.key(), item);
        changed.put(item.key(), item);
      }
    }
    return changed.isEmpty()
        ? Step.of(state)
        : Step.of(
            state.withItems(next),
            new PublicationEffect.Changed(List.copyOf(changed.values()), source));
  }

  /**
   * Returns whether an unknown item must have been deleted: this copy is complete up to its
   * revision, so that an older item it lacks comes from a host that has missed the deletion.
   */
  private static boolean deletedBefore(PublicationState state, PublishedItem item) {
    return state.initialized() && item.revision() <= state.revision();
  }

  /** Returns deletions of the items that are older than a complete listing and missing from it. */
  private static List<PublishedItem> deletions(
      PublicationState state, PublicationState.Listing listing) {
    return state.items().values().stream()
        .filter(item -> item.value().isPresent())
        .filter(item -> item.revision() < listing.firstRevision())
        .filter(item -> !listing.seenKeys().contains(item.key()))
        .map(item -> new PublishedItem(item.key(), listing.firstRevision(), Optional.empty()))
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

  private static PublicationEffect updateFor(
      PublicationState state, PublicationEvent.UpdateRequested request) {
    List<PublishedItem> items =
        state.items().values().stream()
            .filter(item -> item.revision() > request.afterRevision())
            .sorted(Comparator.comparingLong(PublishedItem::revision))
            .toList();
    return new PublicationEffect.SendUpdate(request.host(), items, state.revision());
  }

  /**
   * Returns the state after an update from another host. The copy of that host is complete up to
   * its revision, so this copy is too, and the next watch continues from there.
   */
  private static PublicationState afterUpdate(PublicationState state, long revision) {
    PublicationState next = state.withPeerAheadSince(Optional.empty());
    if (revision == 0) {
      return next;
    }
    boolean listing = next.listing().isPresent() && next.readStartedAt().isEmpty();
    return listing
        ? next.withRevision(revision).withListing(Optional.empty())
        : next.withRevision(revision);
  }
}
