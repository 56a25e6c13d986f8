package org.parsleyhead.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.account.CallerKey;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.RouteName;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.KeyItem;
import org.parsleyhead.core.ticket.Priority;
import org.parsleyhead.core.ticket.RouteItem;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.core.ticket.UpstreamItem;

/** Drives a {@link RequestTransition} with a small catalogue and a manual clock. */
final class RequestFixture {

  static final ClientAccountName ACCOUNT = new ClientAccountName("cordials");
  static final String DIGEST = "ab".repeat(32);
  static final RequestIdentifier REQUEST = new RequestIdentifier("request-1");
  static final MonotonicTime LATER = MonotonicTime.ORIGIN.plus(Duration.ofMinutes(1));
  static final UpstreamItem ENGINE = upstream("engine-1");
  static final UpstreamItem SERVICE = upstream("service-1");

  private final RequestTransition transition = new RequestTransition();
  private RequestState state = RequestState.initial(RequestSettings.DEFAULTS);
  private MonotonicTime now = MonotonicTime.ORIGIN;
  private List<RequestEffect> last = List.of();

  RequestFixture() {
    apply(new RequestEvent.CatalogueChanged(catalogue(), Set.of()));
  }

  static Catalogue catalogue() {
    return Catalogue.empty()
        .merge(
            new Ticket(
                new TicketNumber(1),
                List.of(
                    Change.put(new ClientAccountItem(ACCOUNT, 1_000, 10_000)),
                    Change.put(new KeyItem(DIGEST, ACCOUNT)),
                    Change.put(
                        new AdapterItem(
                            new AdapterName("floor"),
                            new ModelName("base"),
                            Set.of(2),
                            "/weights/floor",
                            Set.of(ACCOUNT))),
                    Change.put(route("models", "/v1", true, Set.of())),
                    Change.put(route("stock", "/stock", true, Set.of(SERVICE.name()))),
                    Change.put(route("dispatch", "/dispatch", false, Set.of(SERVICE.name()))))));
  }

  List<RequestEffect> apply(RequestEvent event) {
    Step<RequestState, RequestEffect> step = transition.apply(state, event, now);
    state = step.state();
    last = step.effects();
    return last;
  }

  void advance(Duration duration) {
    now = now.plus(duration);
  }

  RequestState state() {
    return state;
  }

  /** Returns the single effect of a type that the last event produced. */
  <F extends RequestEffect> F onlyEffect(Class<F> type) {
    List<F> found = new ArrayList<>();
    last.stream().filter(type::isInstance).map(type::cast).forEach(found::add);
    if (found.size() != 1) {
      throw new AssertionError("expected exactly one " + type.getSimpleName() + " in " + last);
    }
    return found.get(0);
  }

  boolean hasEffect(Class<? extends RequestEffect> type) {
    return last.stream().anyMatch(type::isInstance);
  }

  /** Receives and admits a call to a plain service. */
  void admitPlainCall(String path) {
    apply(new RequestEvent.Received(description(path, Optional.empty())));
    apply(new RequestEvent.Admitted(REQUEST));
  }

  /** Receives, admits and dispatches a streamed model call. */
  void sendModelCall() {
    apply(new RequestEvent.Received(modelRequest("floor@2")));
    apply(new RequestEvent.Admitted(REQUEST));
    apply(new RequestEvent.Dispatched(REQUEST, ENGINE, LATER));
  }

  /** Receives, admits, checks and dispatches a call that is not idempotent. */
  void sendDispatch() {
    admitPlainCall("/dispatch");
    apply(new RequestEvent.RepeatChecked(REQUEST, RepeatCheckResult.FIRST));
    apply(new RequestEvent.Dispatched(REQUEST, SERVICE, LATER));
  }

  static RequestDescription modelRequest(String model) {
    return description(
        "/v1/chat/completions",
        Optional.of(new ModelCall(model, 100, 50, true, 1, Priority.INTERACTIVE)));
  }

  static RequestDescription description(String path, Optional<ModelCall> call) {
    return new RequestDescription(
        REQUEST,
        "POST",
        path,
        Optional.of(new CallerKey(DIGEST)),
        call,
        Optional.of("key-1"),
        "digest");
  }

  private static RouteItem route(
      String name, String prefix, boolean idempotent, Set<UpstreamName> upstreams) {
    return new RouteItem(
        new RouteName(name),
        prefix,
        RouteItem.Access.AUTHENTICATED,
        Set.of(),
        idempotent,
        Priority.INTERACTIVE,
        Duration.ofSeconds(30),
        upstreams);
  }

  private static UpstreamItem upstream(String name) {
    return new UpstreamItem(
        new UpstreamName(name),
        new Endpoint("127.0.0.1", 9_000),
        new FailureDomainName("domain-1"),
        Optional.empty(),
        false,
        false);
  }
}
