package org.parsleyhead.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.engine.PinGrant;
import org.parsleyhead.core.engine.PinRelease;
import org.parsleyhead.core.engine.PinRequest;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.ticket.Priority;
import org.parsleyhead.core.ticket.UpstreamItem;

@DisplayName("The scheduling duty")
class SchedulingTransitionTests {

  private static final HostName SELF = new HostName("host");
  private static final Incarnation INCARNATION = new Incarnation(1);
  private static final Sender OWNER = new Sender(SELF, INCARNATION);
  private static final ModelName BASE = new ModelName("base");
  private static final AdapterReference LOADED = AdapterReference.parse("loaded@1");
  private static final AdapterReference COLD = AdapterReference.parse("cold@1");
  private static final Duration PIN = Duration.ofSeconds(30);
  private static final SchedulingSettings SETTINGS = SchedulingSettings.defaults();

  private final SchedulingTransition transition =
      new SchedulingTransition(SETTINGS, SchedulingPolicy.adaptive(SETTINGS));
  private final List<SchedulingEffect> effects = new ArrayList<>();
  private MonotonicTime now = MonotonicTime.ORIGIN;
  private SchedulingState state;
  private int nextRequest;

  @BeforeEach
  void start() {
    RightsSnapshot rightsSnapshot =
        new RightsSnapshot(
            SELF, INCARNATION, 1, new TreeSet<>(Set.of(SELF)), Map.of(), Map.of(), Map.of());
    state = SchedulingState.initial(rightsSnapshot, now);
    declare(engine("one", 2, false));
  }

  private static UpstreamItem engine(String name, int maximumBatch, boolean leaving) {
    return new UpstreamItem(
        new UpstreamName(name),
        Endpoint.parse("10.0.0.1:80"),
        new FailureDomainName("domain"),
        Optional.of(new UpstreamItem.Engine(BASE, 4, maximumBatch, false)),
        leaving,
        false);
  }

  private void declare(UpstreamItem... engines) {
    apply(new SchedulingEvent.UpstreamsChanged(List.of(engines)));
  }

  private void apply(SchedulingEvent event) {
    var step = transition.apply(state, event, now);
    state = step.state();
    effects.addAll(step.effects());
  }

  private ModelRequest submit(AdapterReference adapter, String account, Priority priority) {
    ModelRequest request =
        new ModelRequest(
            new RequestIdentifier("request-" + nextRequest++),
            BASE,
            adapter,
            new ClientAccountName(account),
            100,
            priority,
            0,
            100,
            OptionalLong.empty(),
            Duration.ofSeconds(20),
            Set.of());
    apply(new SchedulingEvent.Submitted(request));
    return request;
  }

  private void finish(ModelRequest request) {
    apply(
        new SchedulingEvent.Finished(
            request.identifier(), RequestOutcome.COMPLETED, request.expectedOutputTokens()));
  }

  private void grant(PinRequest request, Incarnation requester) {
    List<AdapterReference> adapters =
        request.demands().stream().map(demand -> demand.adapter()).toList();
    apply(
        new SchedulingEvent.MessageReceived(
            OWNER, new PinGrant(request.engine(), requester, request.number(), adapters, PIN)));
  }

  private PinRequest lastPinRequest() {
    List<PinRequest> requests = messages(PinRequest.class);
    return requests.get(requests.size() - 1);
  }

  private <M> List<M> messages(Class<M> type) {
    return effects.stream()
        .filter(SchedulingEffect.Send.class::isInstance)
        .map(effect -> ((SchedulingEffect.Send) effect).message())
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  private List<ModelRequest> dispatched() {
    return effects.stream()
        .filter(SchedulingEffect.Dispatch.class::isInstance)
        .map(effect -> ((SchedulingEffect.Dispatch) effect).request())
        .toList();
  }

  private ModelRequest pinLoadedAdapter() {
    ModelRequest first = submit(LOADED, "account", Priority.INTERACTIVE);
    grant(lastPinRequest(), INCARNATION);
    assertEquals(List.of(first), dispatched());
    return first;
  }

  @Nested
  @DisplayName("under a pin")
  class UnderPin {

    @Test
    @DisplayName("dispatches immediately while another adapter waits for a load")
    void doesNotWaitForOtherLoads() {
      finish(pinLoadedAdapter());
      submit(COLD, "account", Priority.INTERACTIVE);
      ModelRequest request = submit(LOADED, "account", Priority.INTERACTIVE);
      assertTrue(dispatched().contains(request));
      assertEquals(1, state.waitingCount());
    }

    @Test
    @DisplayName("measures the duration of the pin from when its request was sent")
    void countsFromRequest() {
      submit(LOADED, "account", Priority.INTERACTIVE);
      MonotonicTime requestedAt = now;
      now = now.plus(Duration.ofSeconds(1));
      grant(lastPinRequest(), INCARNATION);
      SchedulingEffect.Dispatch dispatch =
          (SchedulingEffect.Dispatch) effects.get(effects.size() - 1);
      assertEquals(requestedAt.plus(PIN).minus(SETTINGS.clockMargin()), dispatch.writeBefore());
    }

    @Test
    @DisplayName("stops dispatching when the pin has expired")
    void stopsAtEnd() {
      finish(pinLoadedAdapter());
      now = now.plus(PIN);
      ModelRequest late = submit(LOADED, "account", Priority.INTERACTIVE);
      assertTrue(!dispatched().contains(late));
    }

    @Test
    @DisplayName("dispatches nothing to an engine that is leaving")
    void avoidsLeaving() {
      finish(pinLoadedAdapter());
      declare(engine("one", 2, true), engine("two", 2, false));
      ModelRequest request = submit(LOADED, "account", Priority.INTERACTIVE);
      assertTrue(!dispatched().contains(request));
      assertEquals(new UpstreamName("two"), lastPinRequest().engine());
    }

    @Test
    @DisplayName("releases the pin when it is idle")
    void releasesIdlePin() {
      finish(pinLoadedAdapter());
      now = now.plus(SETTINGS.pinIdleTimeout());
      apply(new SchedulingEvent.Tick(0));
      PinRelease release = messages(PinRelease.class).get(0);
      assertEquals(1, release.startedRequests());
      assertEquals(0, state.adapters().size());
    }

    @Test
    @DisplayName("reports to the owner that the engine lacks the adapter")
    void reportsMissingAdapter() {
      ModelRequest request = pinLoadedAdapter();
      apply(new SchedulingEvent.Finished(request.identifier(), RequestOutcome.ADAPTER_MISSING, 0));
      assertTrue(messages(PinRelease.class).get(0).missing());
    }
  }

  @Nested
  @DisplayName("in its queues")
  class Queues {

    @Test
    @DisplayName("dispatches interactive requests before batch requests")
    void putsInteractiveFirst() {
      ModelRequest one = pinLoadedAdapter();
      submit(LOADED, "account", Priority.INTERACTIVE);
      submit(LOADED, "account", Priority.INTERACTIVE);
      ModelRequest batch = submit(LOADED, "account", Priority.BATCH);
      ModelRequest interactive = submit(LOADED, "account", Priority.INTERACTIVE);
      finish(one);
      finish(dispatched().get(1));
      assertTrue(dispatched().contains(interactive) && !dispatched().contains(batch));
    }

    @Test
    @DisplayName("does not starve batch requests under continuous interactive requests")
    void doesNotStarveBatch() {
      pinLoadedAdapter();
      ModelRequest batch = submit(LOADED, "reviews", Priority.BATCH);
      submit(LOADED, "reviews", Priority.BATCH);
      for (int count = 0; count < 100; count++) {
        submit(LOADED, "account", Priority.INTERACTIVE);
        finish(dispatched().get(count));
      }
      assertTrue(dispatched().contains(batch));
    }

    @Test
    @DisplayName("serves an account within its share before one with much more demand")
    void servesFairly() {
      pinLoadedAdapter();
      for (int count = 0; count < 20; count++) {
        submit(LOADED, "greedy", Priority.INTERACTIVE);
      }
      ModelRequest modest = submit(LOADED, "modest", Priority.INTERACTIVE);
      for (int count = 0; count < 4; count++) {
        finish(dispatched().get(count));
      }
      assertTrue(dispatched().contains(modest));
    }

    @Test
    @DisplayName("refuses a request that is still waiting at its deadline")
    void refusesAtDeadline() {
      ModelRequest request = submit(COLD, "account", Priority.INTERACTIVE);
      now = now.plus(request.startWithin());
      apply(new SchedulingEvent.Tick(0));
      assertTrue(
          effects.stream()
              .anyMatch(
                  effect ->
                      effect instanceof SchedulingEffect.Refuse refuse
                          && refuse.reason() == RefusalReason.DEADLINE_PASSED
                          && refuse.identifier().equals(request.identifier())));
      assertEquals(0, state.waitingCount());
    }

    @Test
    @DisplayName("does not dispatch a resubmitted request to the engine that failed to serve it")
    void avoidsExcludedEngine() {
      declare(engine("one", 2, false), engine("two", 2, false));
      ModelRequest first = pinLoadedAdapter();
      UpstreamName failed = lastPinRequest().engine();
      apply(new SchedulingEvent.Finished(first.identifier(), RequestOutcome.FAILED, 0));
      apply(new SchedulingEvent.Submitted(first.excluding(failed)));
      assertTrue(!lastPinRequest().engine().equals(failed));
      assertEquals(1, dispatched().size());
    }
  }

  @Test
  @DisplayName("does not use a grant for a previous request or another run")
  void ignoresOldGrants() {
    submit(LOADED, "account", Priority.INTERACTIVE);
    PinRequest old = lastPinRequest();
    now = now.plus(SETTINGS.pinRequestRetryInterval());
    apply(new SchedulingEvent.Tick(0));
    grant(old, INCARNATION);
    grant(lastPinRequest(), new Incarnation(2));
    assertEquals(List.of(), dispatched());
    assertEquals(1, messages(PinRelease.class).size());
  }
}
