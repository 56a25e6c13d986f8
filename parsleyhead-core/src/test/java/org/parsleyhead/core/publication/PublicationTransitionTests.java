package org.parsleyhead.core.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

@DisplayName("The copy of the published items")
class PublicationTransitionTests {

  private static final PublicationSettings SETTINGS =
      new PublicationSettings(
          Duration.ofMillis(200),
          Duration.ofMillis(300),
          Duration.ofMillis(1500),
          Duration.ofSeconds(20),
          Duration.ofMillis(1500),
          Duration.ofMillis(400),
          Duration.ofMillis(2500),
          Duration.ofMillis(1000),
          Duration.ofSeconds(15));

  private final PublicationTransition transition =
      new PublicationTransition(SETTINGS, ItemVersions.NONE);
  private MonotonicTime now = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(50));
  private PublicationState state = PublicationState.initial(now);

  private static PublishedItem item(String key, long revision, String value) {
    return new PublishedItem(key, revision, Optional.of(value));
  }

  private static PublishedItem deletion(String key, long revision) {
    return new PublishedItem(key, revision, Optional.empty());
  }

  private List<PublicationEffect> apply(PublicationEvent event) {
    Step<PublicationState, PublicationEffect> step = transition.apply(state, event, now);
    state = step.state();
    return step.effects();
  }

  private List<PublicationEffect> afterTick(Duration duration) {
    now = now.plus(duration);
    return apply(new PublicationEvent.Tick());
  }

  private void list(long revision, PublishedItem... items) {
    apply(new PublicationEvent.Tick());
    apply(
        new PublicationEvent.PageRead(state.reads().readNumber(), List.of(items), false, revision));
  }

  @Test
  @DisplayName("watches for changes from the revision of the first page of a listing")
  void watchesFromFirstPage() {
    apply(new PublicationEvent.Tick());
    apply(
        new PublicationEvent.PageRead(
            state.reads().readNumber(), List.of(item("a", 3, "x")), true, 10));
    List<PublicationEffect> effects =
        apply(
            new PublicationEvent.PageRead(
                state.reads().readNumber(), List.of(item("b", 12, "y")), false, 14));
    assertTrue(
        effects.contains(
            new PublicationEffect.Watch(
                state.reads().readNumber(), 0, 10, Duration.ofSeconds(20))));
  }

  @Test
  @DisplayName("reports only the last change of a key in a batch")
  void reportsLastChange() {
    list(5, item("servers/a", 2, "ready"));
    List<PublicationEffect> effects =
        apply(
            new PublicationEvent.WatchReturned(
                state.reads().readNumber(),
                List.of(item("servers/a", 6, "ready"), deletion("servers/a", 7)),
                7));
    assertEquals(
        List.of(deletion("servers/a", 7)), ((PublicationEffect.Changed) effects.get(0)).items());
  }

  @Test
  @DisplayName("lists again when history was dropped and detects items that were deleted meanwhile")
  void detectsDeletions() {
    list(5, item("a", 2, "x"), item("b", 3, "y"));
    apply(new PublicationEvent.HistoryDropped(state.reads().readNumber()));
    List<PublicationEffect> effects =
        apply(
            new PublicationEvent.PageRead(
                state.reads().readNumber(), List.of(item("b", 3, "y")), false, 30));
    assertEquals(List.of(deletion("a", 30)), ((PublicationEffect.Changed) effects.get(0)).items());
  }

  @Test
  @DisplayName(
      "lists again on another connection, where no second answer to an earlier listing can come")
  void listsAgainOnAnotherConnection() {
    list(5, item("a", 2, "x"), item("b", 3, "y"));
    assertEquals(
        List.of(new PublicationEffect.ReadPage(state.reads().readNumber() + 1, 1, "")),
        apply(new PublicationEvent.HistoryDropped(state.reads().readNumber())));
  }

  @Test
  @DisplayName("brings back nothing after a restart that a complete listing lacks")
  void bringsBackNothing() {
    list(20, item("servers/b", 12, "ready"));
    List<PublicationEffect> effects =
        apply(
            new PublicationEvent.UpdateReceived(
                "peer",
                0,
                List.of(item("servers/a", 5, "ready"), item("servers/c", 21, "ready")),
                9,
                15));
    assertEquals(
        List.of(
            new PublicationEffect.Ignored(List.of(item("servers/a", 5, "ready")), "peer=peer", 20),
            new PublicationEffect.Changed(
                List.of(item("servers/c", 21, "ready")), "peer=peer", Duration.ZERO)),
        effects);
  }

  @Test
  @DisplayName("brings back nothing that is deleted between a stale listing and the first watch")
  void appliesDeletionAfterStaleListing() {
    list(10, item("servers/a", 5, "ready"));
    List<PublicationEffect> effects =
        apply(
            new PublicationEvent.WatchReturned(
                state.reads().readNumber(), List.of(deletion("servers/a", 12)), 12));
    assertTrue(
        effects.contains(
            new PublicationEffect.Changed(
                List.of(deletion("servers/a", 12)), "watch", Duration.ZERO)));
    assertEquals(
        List.of(),
        apply(
            new PublicationEvent.UpdateReceived(
                "peer", 0, List.of(item("servers/a", 5, "ready")), 4, 10)));
  }

  @Test
  @DisplayName("ignores an outdated update from another host")
  void ignoresOldUpdates() {
    list(9, item("a", 8, "new"));
    assertEquals(
        List.of(),
        apply(new PublicationEvent.UpdateReceived("peer", 0, List.of(item("a", 7, "old")), 6, 7)));
    assertEquals(9, state.revision());
  }

  @Test
  @DisplayName(
      "requests an update from a host that stays ahead, since the platform may refuse reads of this"
          + " one")
  void requestsUpdate() {
    list(9, item("a", 8, "x"));
    assertEquals(List.of(), apply(new PublicationEvent.PeerRevision("peer", 0, 11)));
    now = now.plus(Duration.ofMillis(450));
    assertEquals(
        List.of(new PublicationEffect.RequestUpdate("peer", 0, 9)),
        apply(new PublicationEvent.PeerRevision("peer", 0, 11)));
  }

  @Test
  @DisplayName("reports once that the platform is unreachable and once that it is reachable again")
  void reportsReachability() {
    list(9, item("a", 8, "x"));
    assertEquals(
        List.of(new PublicationEffect.Reachability(false, "status 503", Duration.ZERO, 9)),
        apply(new PublicationEvent.ReadFailed(state.reads().readNumber(), "status 503")));
    afterTick(Duration.ofMillis(400));
    assertEquals(
        List.of(),
        apply(new PublicationEvent.ReadFailed(state.reads().readNumber(), "status 503")));
    afterTick(Duration.ofMillis(400));
    assertEquals(
        new PublicationEffect.Reachability(true, "read succeeded", Duration.ofMillis(800), 9),
        apply(new PublicationEvent.WatchReturned(state.reads().readNumber(), List.of(), 9)).get(0));
  }

  @Test
  @DisplayName("leaves reads to other hosts until its revision has not advanced for a while")
  void readsOnlyAfterNonReaderTimeout() {
    list(9, item("a", 8, "x"));
    apply(new PublicationEvent.ReaderRole(false));
    assertEquals(
        List.of(),
        apply(new PublicationEvent.WatchReturned(state.reads().readNumber(), List.of(), 9)));
    assertEquals(List.of(), afterTick(Duration.ofMillis(400)));
    assertEquals(
        List.of(new PublicationEffect.RequestUpdate("peer", 0, 9)),
        apply(new PublicationEvent.PeerRevision("peer", 0, 11)));
    assertEquals(1, afterTick(Duration.ofSeconds(3)).size());
  }

  @Test
  @DisplayName("watches on another connection once the answer to a watch is late")
  void replacesUnansweredWatch() {
    list(9, item("a", 8, "x"));
    assertEquals(
        List.of(new PublicationEffect.PlatformSilent(Duration.ofSeconds(21), 9)),
        afterTick(Duration.ofSeconds(21)));
    assertEquals(
        List.of(
            new PublicationEffect.Watch(
                state.reads().readNumber() + 1, 1, 9, Duration.ofSeconds(20))),
        afterTick(Duration.ofSeconds(1)));
  }

  @Test
  @DisplayName("takes the late answer to a watch that has been replaced")
  void takesLateAnswer() {
    list(9, item("a", 8, "x"));
    final int replaced = state.reads().readNumber();
    afterTick(Duration.ofSeconds(22));
    final int latest = state.reads().readNumber();
    List<PublicationEffect> effects =
        apply(new PublicationEvent.WatchReturned(replaced, List.of(item("a", 10, "y")), 10));
    assertTrue(
        effects.contains(
            new PublicationEffect.Changed(List.of(item("a", 10, "y")), "watch", Duration.ZERO)));
    assertEquals(10, state.revision());
    assertEquals(latest, state.reads().readNumber());
  }

  @Test
  @DisplayName("ignores the failure of a watch that has been replaced")
  void ignoresFailureOfReplacedWatch() {
    list(9, item("a", 8, "x"));
    final int replaced = state.reads().readNumber();
    afterTick(Duration.ofSeconds(22));
    assertEquals(List.of(), apply(new PublicationEvent.ReadFailed(replaced, "timeout")));
  }

  @Test
  @DisplayName("sends its whole copy to a host that may have missed deletions before its listing")
  void sendsWholeCopy() {
    list(20, item("servers/b", 12, "ready"));
    assertEquals(
        List.of(
            new PublicationEffect.SendUpdate(
                "peer", 0, List.of(item("servers/b", 12, "ready")), 0, 20, FormerCopy.UNKNOWN)),
        apply(new PublicationEvent.UpdateRequested("peer", 0, 19)));
    assertEquals(
        List.of(new PublicationEffect.SendUpdate("peer", 0, List.of(), 20, 20, FormerCopy.UNKNOWN)),
        apply(new PublicationEvent.UpdateRequested("peer", 0, 20)));
  }

  @Test
  @DisplayName("deletes what the whole copy of another host lacks")
  void deletesWhatWholeCopyLacks() {
    list(10, item("servers/a", 5, "ready"), item("servers/b", 6, "ready"));
    List<PublicationEffect> effects =
        apply(
            new PublicationEvent.UpdateReceived(
                "peer", 0, List.of(item("servers/b", 6, "ready")), 0, 20));
    assertEquals(
        List.of(
            new PublicationEffect.Changed(
                List.of(deletion("servers/a", 20)), "peer=peer", Duration.ZERO)),
        effects);
  }

  @Test
  @DisplayName("deletes nothing for the older whole copy of another host")
  void keepsItemsNewerThanWholeCopy() {
    list(10, item("servers/a", 5, "ready"));
    assertEquals(List.of(), apply(new PublicationEvent.UpdateReceived("peer", 0, List.of(), 0, 8)));
  }

  @Test
  @DisplayName("takes back from a listing what an update has wrongly deleted or left out")
  void repairsCopyByListing() {
    list(10, item("servers/a", 5, "ready"));
    apply(new PublicationEvent.UpdateReceived("peer", 0, List.of(), 0, 20));
    apply(new PublicationEvent.HistoryDropped(state.reads().readNumber()));
    List<PublishedItem> listed =
        List.of(item("servers/a", 5, "ready"), item("servers/b", 15, "ready"));
    List<PublicationEffect> effects =
        apply(new PublicationEvent.PageRead(state.reads().readNumber(), listed, false, 30));
    assertTrue(effects.contains(new PublicationEffect.Changed(listed, "listing", Duration.ZERO)));
  }

  @Test
  @DisplayName("is not complete by changes that begin after its revision")
  void ignoresRevisionOfLaterChanges() {
    apply(
        new PublicationEvent.UpdateReceived(
            "peer", 0, List.of(item("servers/a", 51, "x")), 50, 52));
    assertEquals(0, state.revision());
    list(40, item("servers/b", 30, "x"));
    apply(
        new PublicationEvent.UpdateReceived(
            "peer", 0, List.of(item("servers/a", 51, "x")), 50, 52));
    assertEquals(40, state.revision());
  }
}
