package org.parsleyhead.core.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.ticket.Priority;
import org.parsleyhead.core.ticket.UpstreamItem;

@DisplayName("The ownership duty")
class OwnershipTransitionTests {

  private static final HostName SELF = new HostName("host");
  private static final Sender OWNER = new Sender(SELF, new Incarnation(1));
  private static final Sender PEER = new Sender(new HostName("peer"), new Incarnation(2));
  private static final UpstreamName ENGINE = new UpstreamName("engine");
  private static final AdapterReference ADAPTER = AdapterReference.parse("adapter@1");
  private static final OwnershipSettings SETTINGS = OwnershipSettings.of(4, 8);

  private final OwnershipTransition transition =
      new OwnershipTransition(SETTINGS, EvictionPolicy.leastExpectedReuse());
  private List<EngineEffect> effects = new ArrayList<>();
  private MonotonicTime now = MonotonicTime.ORIGIN;
  private OwnershipState state = OwnershipState.initial(rightsSnapshot(1), now);
  private long nextNumber;

  @BeforeEach
  void acquireEngine() {
    apply(
        new EngineEvent.UpstreamsChanged(
            List.of(
                new UpstreamItem(
                    ENGINE,
                    Endpoint.parse("10.0.0.1:80"),
                    new FailureDomainName("domain"),
                    Optional.of(new UpstreamItem.Engine(new ModelName("base"), 1, 4, false)),
                    false,
                    false))));
    apply(new EngineEvent.RightsChanged(rightsSnapshot(1)));
    now = now.plus(SETTINGS.takeoverDelay().plus(SETTINGS.permitLifetime()));
    report(Set.of());
  }

  private static RightsSnapshot rightsSnapshot(long version) {
    return new RightsSnapshot(
        SELF,
        OWNER.incarnation(),
        version,
        new TreeSet<>(Set.of(SELF)),
        Map.of(),
        Map.of(),
        Map.of());
  }

  private void apply(EngineEvent event) {
    var step = transition.apply(state, event, now);
    state = step.state();
    effects = step.effects();
  }

  private void report(Set<AdapterReference> resident) {
    apply(new EngineEvent.ReportReceived(new EngineReport(ENGINE, now, 0, 0, resident, Set.of())));
  }

  private void requestPin(Sender sender) {
    PinDemand demand = new PinDemand(ADAPTER, 1, 0, Priority.INTERACTIVE, 0);
    PinRequest request = new PinRequest(ENGINE, nextNumber++, List.of(demand));
    apply(new EngineEvent.MessageReceived(sender, request));
  }

  private <M> List<M> messages(Class<M> type) {
    return effects.stream()
        .filter(EngineEffect.Send.class::isInstance)
        .map(effect -> ((EngineEffect.Send) effect).message())
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  /** Delivers the permit messages that the duty sent to its own host, and returns the load. */
  private EngineEffect.LoadAdapter grantLoad() {
    List<PeerMessage> own = new ArrayList<>(messages(PermitRequest.class));
    own.forEach(message -> apply(new EngineEvent.MessageReceived(OWNER, message)));
    own = new ArrayList<>(messages(PermitGrant.class));
    own.forEach(message -> apply(new EngineEvent.MessageReceived(OWNER, message)));
    return (EngineEffect.LoadAdapter) effects.get(0);
  }

  private void completeOrder(EngineEffect.LoadAdapter load, OrderOutcome outcome) {
    apply(new EngineEvent.OrderCompleted(ENGINE, load.orderNumber(), outcome));
  }

  @Test
  @DisplayName("refuses pins on engines that it does not own")
  void refusesUnownedEngines() {
    PinDemand demand = new PinDemand(ADAPTER, 1, 0, Priority.INTERACTIVE, 0);
    PinRequest request = new PinRequest(new UpstreamName("other"), 1, List.of(demand));
    apply(new EngineEvent.MessageReceived(PEER, request));
    assertEquals(PinRefusal.Reason.NOT_OWNER, messages(PinRefusal.class).get(0).reason());
  }

  @Test
  @DisplayName("serves all hosts that wait for an adapter with one load")
  void sharesLoad() {
    requestPin(PEER);
    List<EngineEffect> first = effects;
    requestPin(OWNER);
    assertTrue(messages(PermitRequest.class).isEmpty());
    effects = first;
    completeOrder(grantLoad(), OrderOutcome.DONE);
    assertEquals(2, messages(PinGrant.class).size());
    assertEquals(1, messages(PermitReturn.class).size());
  }

  @Test
  @DisplayName("refuses the waiting hosts after a failed load and backs off before the next load")
  void backsOff() {
    requestPin(PEER);
    completeOrder(grantLoad(), OrderOutcome.FAILED);
    assertEquals(PinRefusal.Reason.LOAD_FAILED, messages(PinRefusal.class).get(0).reason());
    report(Set.of());
    requestPin(PEER);
    assertEquals(PinRefusal.Reason.LOAD_FAILED, messages(PinRefusal.class).get(0).reason());
  }

  @Test
  @DisplayName("reads the engine after an unanswered order before it sends another one")
  void readsAfterUnknownOutcome() {
    requestPin(PEER);
    grantLoad();
    now = now.plus(SETTINGS.orderTimeout());
    apply(new EngineEvent.Tick(1));
    assertTrue(effects.contains(new EngineEffect.ReadEngine(ENGINE)));
    assertTrue(effects.stream().noneMatch(EngineEffect.LoadAdapter.class::isInstance));
  }

  @Test
  @DisplayName("trusts the report of a restarted engine over its own state")
  void trustsReportAfterRestart() {
    requestPin(PEER);
    completeOrder(grantLoad(), OrderOutcome.DONE);
    assertEquals(Set.of(ADAPTER), state.residentAt(ENGINE));
    now = now.plus(SETTINGS.readInterval());
    report(Set.of());
    assertEquals(Set.of(), state.residentAt(ENGINE));
  }

  @Test
  @DisplayName("assigns greater fencing numbers to orders under a later host list")
  void fencingNumbersGrow() {
    RightsSnapshot earlier = rightsSnapshot(7);
    RightsSnapshot later = rightsSnapshot(8);
    assertTrue(FencingNumber.of(later, 0) > FencingNumber.of(earlier, Long.MAX_VALUE));
    assertTrue(FencingNumber.of(earlier, 1) > FencingNumber.of(earlier, 0));
  }

  @Test
  @DisplayName("limits outstanding permits to the maximum number of transfers")
  void limitsPermits() {
    int granted = 0;
    for (int count = 0; count < 20; count++) {
      now = now.plus(java.time.Duration.ofMillis(250));
      apply(new EngineEvent.MessageReceived(PEER, new PermitRequest(100 + count, 100 + count, 1)));
      granted += messages(PermitGrant.class).size();
    }
    assertEquals(SETTINGS.maximumTransfers(), granted);
    apply(new EngineEvent.MessageReceived(PEER, new PermitReturn(100, true)));
    assertEquals(1, messages(PermitGrant.class).size());
  }
}
