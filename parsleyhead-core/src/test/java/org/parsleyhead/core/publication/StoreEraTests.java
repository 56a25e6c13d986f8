package org.parsleyhead.core.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

@DisplayName("The copy of the published items after the store was restored from a copy")
class StoreEraTests {

  private static final Duration CONFIRMATION = PublicationSettings.DEFAULT.confirmationTime();

  private final PublicationTransition transition =
      new PublicationTransition(PublicationSettings.DEFAULT, FakeItemVersions::of);
  private final Map<String, String> inForce = new TreeMap<>();
  private MonotonicTime now = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(50));
  private PublicationState state = PublicationState.initial(now);

  private static PublishedItem item(long era, String key, long revision, String value) {
    return new PublishedItem(key, era, revision, Optional.of(value));
  }

  private static PublishedItem deletion(long era, String key, long revision) {
    return new PublishedItem(key, era, revision, Optional.empty());
  }

  private List<PublicationEffect> apply(PublicationEvent event) {
    Step<PublicationState, PublicationEffect> step = transition.apply(state, event, now);
    state = step.state();
    for (PublicationEffect effect : step.effects()) {
      if (effect instanceof PublicationEffect.Changed changed) {
        for (PublishedItem item : changed.items()) {
          item.value()
              .ifPresentOrElse(
                  value -> inForce.put(item.key(), value), () -> inForce.remove(item.key()));
        }
      }
    }
    return step.effects();
  }

  private void list(long era, long revision, PublishedItem... items) {
    apply(new PublicationEvent.Tick());
    apply(
        new PublicationEvent.PageRead(
            state.reads().readNumber(), era, List.of(items), false, revision));
  }

  private void watch(long era, long revision, PublishedItem... items) {
    apply(
        new PublicationEvent.WatchReturned(
            state.reads().readNumber(), era, List.of(items), revision));
  }

  /** Lets the watch find out about an era, and lists what the restored store has. */
  private void rollBack(long era, long revision, PublishedItem... items) {
    apply(new PublicationEvent.HistoryDropped(state.reads().readNumber(), era));
    list(era, revision, items);
  }

  /** Passes time in which the store answers watches without changes. */
  private void pass(Duration duration) {
    Duration step = Duration.ofMillis(500);
    for (Duration left = duration; !left.isNegative() && !left.isZero(); left = left.minus(step)) {
      now = now.plus(step);
      apply(
          new PublicationEvent.WatchReturned(
              state.reads().readNumber(), state.era(), List.of(), state.revision()));
      apply(new PublicationEvent.Tick());
    }
  }

  // Guards against a rollback that reverts the configuration or an adapter version.
  @Test
  @DisplayName("keeps the newer configuration and adapter version that the copy has older")
  void keepsHigherVersions() {
    list(0, 100, item(0, "op/config", 90, "withdrawn 5.0"), item(0, "op/version/a", 95, "v 4.0"));
    rollBack(1, 80, item(1, "op/config", 40, "valid 4.0"), item(1, "op/version/a", 41, "v 3.0"));
    assertEquals(Map.of("op/config", "withdrawn 5.0", "op/version/a", "v 4.0"), inForce);
    pass(CONFIRMATION.plusSeconds(5));
    assertEquals(Map.of("op/config", "withdrawn 5.0", "op/version/a", "v 4.0"), inForce);
    watch(1, 85, item(1, "op/config", 85, "next 6.0"));
    assertEquals("next 6.0", inForce.get("op/config"));
  }

  // Guards against an item that counts as known because its revision was seen in the former era.
  @Test
  @DisplayName("takes a reused revision with other contents")
  void takesReusedRevision() {
    list(0, 100, item(0, "servers/a", 100, "ready 7.3"));
    rollBack(1, 99, item(1, "servers/a", 90, "ready 7.1"));
    watch(1, 100, item(1, "servers/a", 100, "draining 7.4"));
    assertEquals(Map.of("servers/a", "draining 7.4"), inForce);
  }

  // Guards against servers that disappear because the copy is older than their announcement.
  @Test
  @DisplayName("keeps a server that the copy lacks until the confirmation time has ended")
  void keepsLackingServer() {
    list(0, 100, item(0, "servers/a", 90, "ready 7.1"), item(0, "servers/b", 95, "ready 7.1"));
    rollBack(1, 80);
    pass(CONFIRMATION.minusSeconds(2));
    watch(1, 81, item(1, "servers/a", 81, "ready 7.2"));
    assertEquals(Map.of("servers/a", "ready 7.2", "servers/b", "ready 7.1"), inForce);
    pass(Duration.ofSeconds(3));
    assertEquals(Map.of("servers/a", "ready 7.2"), inForce);
    assertTrue(state.storeEra().former().isEmpty());
  }

  // Guards against requests to a server that has ended, or that is about to.
  @Test
  @DisplayName("brings back neither a removed server nor one that was draining")
  void ignoresRemovedAndDrainingServers() {
    list(0, 100, item(0, "servers/a", 90, "ready 7.1"), item(0, "servers/b", 95, "ready 8.1"));
    watch(0, 102, deletion(0, "servers/a", 101), item(0, "servers/b", 102, "draining 8.2"));
    rollBack(1, 97, item(1, "servers/a", 90, "ready 7.1"), item(1, "servers/b", 95, "ready 8.1"));
    assertEquals(Map.of("servers/b", "draining 8.2"), inForce);
    pass(CONFIRMATION.plusSeconds(5));
    assertEquals(Map.of("servers/b", "draining 8.2"), inForce);
    watch(1, 99, item(1, "servers/a", 98, "ready 9.1"), item(1, "servers/b", 99, "ready 9.1"));
    assertEquals(Map.of("servers/a", "ready 9.1", "servers/b", "ready 9.1"), inForce);
  }

  // Guards against a deletion that is forgotten because it was read in the era before the last.
  @Test
  @DisplayName("does not bring back a removed server by the second of two rollbacks")
  void ignoresRemovedServerAfterTwoRollbacks() {
    list(0, 100, item(0, "servers/a", 90, "ready 7.1"));
    watch(0, 101, deletion(0, "servers/a", 101));
    rollBack(1, 101);
    pass(CONFIRMATION.plusSeconds(1));
    rollBack(2, 95, item(2, "servers/a", 90, "ready 7.1"));
    assertEquals(Map.of(), inForce);
    apply(new PublicationEvent.HistoryDropped(state.reads().readNumber(), 3));
    assertEquals(3, state.era());
    list(3, 95, item(3, "servers/a", 90, "ready 7.1"));
    assertEquals(Map.of(), inForce);
  }

  // Guards against requests into an evacuated domain.
  @Test
  @DisplayName("keeps an evacuation that either the former copy or the store has")
  void unitesEvacuations() {
    list(0, 100, item(0, "op/evacuate/x", 90, "{}"), item(0, "op/evacuate/y", 91, "{}"));
    watch(0, 101, deletion(0, "op/evacuate/y", 101));
    rollBack(1, 80, item(1, "op/evacuate/y", 70, "{}"));
    assertEquals(Map.of("op/evacuate/x", "{}", "op/evacuate/y", "{}"), inForce);
    watch(1, 81, deletion(1, "op/evacuate/y", 81));
    assertEquals(Map.of("op/evacuate/x", "{}"), inForce);
    pass(CONFIRMATION.plusSeconds(1));
    assertEquals(Map.of(), inForce);
  }

  @Test
  @DisplayName("ends an evacuation at once that was written and deleted in the new era")
  void endsRewrittenEvacuation() {
    list(0, 100, item(0, "op/evacuate/x", 90, "{}"));
    rollBack(1, 80);
    watch(1, 82, item(1, "op/evacuate/x", 81, "{}"), deletion(1, "op/evacuate/x", 82));
    assertEquals(Map.of(), inForce);
  }

  // Guards against an older value of the copy that replaces a newer one of the same version.
  @Test
  @DisplayName("keeps an item that the copy has otherwise until it is written or time has passed")
  void keepsItemsOfEqualOrNoVersion() {
    list(0, 100, item(0, "op/x", 90, "new"), item(0, "servers/a", 91, "draining 7.1"));
    rollBack(1, 80, item(1, "op/x", 40, "old"), item(1, "servers/a", 41, "ready 7.1"));
    assertEquals(Map.of("op/x", "new", "servers/a", "draining 7.1"), inForce);
    watch(1, 81, item(1, "servers/a", 81, "leaving 7.1"));
    watch(1, 82, item(1, "op/y", 82, "y"));
    pass(CONFIRMATION.plusSeconds(1));
    assertEquals(Map.of("op/x", "old", "op/y", "y", "servers/a", "leaving 7.1"), inForce);
  }

  // Guards against deletions by a host that cannot know what was written again.
  @Test
  @DisplayName("deletes nothing while the store does not answer")
  void waitsForAnswer() {
    list(0, 100, item(0, "servers/a", 90, "ready 7.1"));
    rollBack(1, 80);
    for (int second = 0; second < 30; second++) {
      now = now.plus(Duration.ofSeconds(1));
      apply(new PublicationEvent.Tick());
    }
    assertEquals(Map.of("servers/a", "ready 7.1"), inForce);
    pass(Duration.ofSeconds(1));
    assertEquals(Map.of(), inForce);
  }

  // Guards against a host that reports itself as not ready, or forgets its items, meanwhile.
  @Test
  @DisplayName("remains complete and lists from the start when a watch shows a higher era")
  void listsAgain() {
    list(0, 100, item(0, "servers/a", 90, "ready 7.1"));
    int number = state.reads().readNumber();
    List<PublicationEffect> effects =
        apply(
            new PublicationEvent.WatchReturned(
                number, 1, List.of(item(1, "servers/a", 101, "ready 1.1")), 101));
    assertEquals(
        List.of(
            new PublicationEffect.EraIncreased("store", 0, 1, 100, 1),
            new PublicationEffect.ReadPage(number + 2, 1, "")),
        effects);
    assertTrue(state.initialized());
    assertEquals(0, state.revision());
    assertEquals(Map.of("servers/a", "ready 7.1"), inForce);
  }

  // Guards against a copy that counts as complete by an answer to a read of the former era.
  @Test
  @DisplayName("ignores the late answer to a watch of the former era")
  void ignoresFormerWatch() {
    list(0, 100, item(0, "servers/a", 90, "ready 7.1"));
    int former = state.reads().readNumber();
    apply(new PublicationEvent.PeerRevision("peer", 1, 90));
    assertEquals(List.of(), apply(new PublicationEvent.WatchReturned(former, 1, List.of(), 120)));
    assertEquals(0, state.revision());
    assertEquals(
        List.of(new PublicationEffect.EraLower("store", 0, 1)),
        apply(new PublicationEvent.WatchReturned(former, 0, List.of(), 120)));
  }

  @Test
  @DisplayName("treats an answer of a lower era as a failed read")
  void failsReadOfLowerEra() {
    list(2, 100, item(2, "servers/a", 90, "ready 7.1"));
    assertEquals(
        List.of(
            new PublicationEffect.EraLower("store", 1, 2),
            new PublicationEffect.Reachability(false, "lower era", Duration.ZERO, 100)),
        apply(new PublicationEvent.WatchReturned(state.reads().readNumber(), 1, List.of(), 200)));
    assertEquals(100, state.revision());
  }

  // Guards against a host that does not read from the store and stays in the former era.
  @Test
  @DisplayName("requests a whole copy from a host of a higher era, and lists itself as a reader")
  void adoptsEraOfOtherHost() {
    list(0, 100, item(0, "servers/a", 90, "ready 7.1"));
    int number = state.reads().readNumber();
    List<PublicationEffect> effects = apply(new PublicationEvent.PeerRevision("peer", 1, 80));
    assertTrue(effects.contains(new PublicationEffect.RequestUpdate("peer", 1, 0)));
    assertTrue(effects.contains(new PublicationEffect.ReadPage(number + 2, 1, "")));
    apply(
        new PublicationEvent.UpdateReceived(
            "peer", 1, List.of(item(1, "servers/b", 79, "ready 3.1")), 0, 80));
    assertEquals(80, state.revision());
    assertEquals(Map.of("servers/a", "ready 7.1", "servers/b", "ready 3.1"), inForce);
  }

  @Test
  @DisplayName(
      "leaves the listing to others as no reader, and takes the whole copy of another host")
  void adoptsEraAsNonReader() {
    list(0, 100, item(0, "servers/a", 90, "ready 7.1"));
    apply(new PublicationEvent.ReaderRole(false));
    assertEquals(
        List.of(
            new PublicationEffect.EraIncreased("peer=peer", 0, 1, 100, 1),
            new PublicationEffect.RequestUpdate("peer", 1, 0)),
        apply(new PublicationEvent.PeerRevision("peer", 1, 80)));
  }

  @Test
  @DisplayName("drops an update of a lower era and answers requests of one with its whole copy")
  void refusesLowerEra() {
    list(2, 100, item(2, "servers/a", 90, "ready 7.1"));
    assertEquals(
        List.of(new PublicationEffect.EraLower("peer=peer", 1, 2)),
        apply(
            new PublicationEvent.UpdateReceived(
                "peer", 1, List.of(item(1, "servers/b", 300, "x")), 0, 300)));
    assertEquals(List.of(), apply(new PublicationEvent.PeerRevision("peer", 1, 300)));
    assertEquals(
        List.of(
            new PublicationEffect.SendUpdate(
                "peer",
                2,
                List.of(item(2, "servers/a", 90, "ready 7.1")),
                0,
                100,
                FormerCopy.UNKNOWN)),
        apply(new PublicationEvent.UpdateRequested("peer", 1, 300)));
  }

  /** Returns the answer of this host to a request of a host that has just started. */
  private PublicationEvent.UpdateReceived wholeCopyForNewHost() {
    PublicationEffect.SendUpdate sent =
        (PublicationEffect.SendUpdate)
            apply(new PublicationEvent.UpdateRequested("new", state.era(), 0)).get(0);
    return new PublicationEvent.UpdateReceived(
        "old", sent.era(), sent.items(), sent.afterRevision(), sent.revision(), sent.former());
  }

  // Guards against withdrawn keys and removed servers on a host that starts after the rollback.
  @Test
  @DisplayName("requests from another host, after its start, what remains of the former era")
  void inquiresAfterStart() {
    list(
        0,
        100,
        item(0, "op/config", 90, "withdrawn 5.0"),
        item(0, "op/evacuate/x", 91, "{}"),
        item(0, "servers/a", 92, "ready 7.1"));
    watch(0, 101, deletion(0, "servers/a", 101));
    PublishedItem[] restored = {
      item(1, "op/config", 40, "valid 4.0"), item(1, "servers/a", 50, "ready 7.1")
    };
    rollBack(1, 80, restored);
    pass(Duration.ofSeconds(5));
    final PublicationEvent.UpdateReceived copy = wholeCopyForNewHost();
    state = PublicationState.initial(now);
    inForce.clear();
    list(1, 80, restored);
    assertEquals(
        List.of(new PublicationEffect.RequestUpdate("old", 1, 0)),
        apply(new PublicationEvent.PeerRevision("old", 1, 80)));
    apply(copy);
    assertEquals(Map.of("op/config", "withdrawn 5.0", "op/evacuate/x", "{}"), inForce);
    assertEquals(List.of(), apply(new PublicationEvent.PeerRevision("old", 1, 80)));
    pass(CONFIRMATION.minusSeconds(4));
    assertEquals(Map.of("op/config", "withdrawn 5.0"), inForce);
  }

  // Guards against whole copies that all hosts of a fleet request again and again.
  @Test
  @DisplayName("requests what remains of former eras three times at most")
  void boundsInquiries() {
    list(1, 80, item(1, "servers/a", 50, "ready 7.1"));
    int requests = 0;
    for (int heartbeat = 0; heartbeat < 20; heartbeat++) {
      now = now.plus(Duration.ofMillis(300));
      requests += apply(new PublicationEvent.PeerRevision("peer", 1, 80)).size();
      apply(new PublicationEvent.UpdateReceived("peer", 1, List.of(), 80, 80));
    }
    assertEquals(3, requests);
  }

  // Guards against memory that grows with each server that ever ran.
  @Test
  @DisplayName("remembers a bounded number of removed servers, the most recent ones")
  void boundsRemovedServers() {
    RemovedItems removed = RemovedItems.NONE;
    for (int index = 0; index < RemovedItems.MAXIMUM_SIZE + 10; index++) {
      removed = removed.with("servers/" + index, Optional.of(new ItemVersion(index, 0)));
    }
    assertEquals(RemovedItems.MAXIMUM_SIZE, removed.byKey().size());
    assertFalse(removed.byKey().containsKey("servers/9"));
    assertTrue(removed.byKey().containsKey("servers/10"));
  }

  // Guards against any effect of eras on a store that states none.
  @Test
  @DisplayName("lets the revision alone decide while the era stays the same")
  void comparesRevisionsWithinEra() {
    list(0, 100, item(0, "servers/a", 90, "ready 7.5"));
    watch(0, 101, deletion(0, "servers/a", 101));
    watch(0, 102, item(0, "servers/a", 102, "ready 7.1"));
    assertEquals(Map.of("servers/a", "ready 7.1"), inForce);
    assertEquals(new ArrayList<>(), List.copyOf(state.storeEra().former().values()));
  }
}
