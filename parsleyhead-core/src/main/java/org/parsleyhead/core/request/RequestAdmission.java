package org.parsleyhead.core.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.parsleyhead.core.account.Authorization;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.RouteItem;

/**
 * Decides whether a received request is accepted: checks the load of this host, the route, the
 * client account and the adapter, and reserves the tokens of the client account.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestAdmission {

  private static final String MODELS_OPERATION = "/models";

  private RequestAdmission() {}

  static Step<RequestState, RequestEffect> receive(
      RequestState state, RequestDescription description, MonotonicTime time) {
    if (state.activeCount() >= state.settings().maximumActiveRequests()) {
      return refuse(
          state,
          description,
          Refusal.notRun(
              RefusalCode.OVERLOADED,
              "this host has no room for another request",
              state.settings().decisionTimeout()));
    }
    if (state.catalogue().highestTicketNumber().equals(TicketNumber.NONE)) {
      return refuse(
          state,
          description,
          Refusal.notRun(
              RefusalCode.UPSTREAM_UNAVAILABLE,
              "this host does not know the configuration yet",
              state.settings().decisionTimeout()));
    }
    Optional<RouteItem> route = state.catalogue().route(description.path());
    if (route.isEmpty()) {
      return refuse(
          state, description, Refusal.notRun(RefusalCode.ROUTE_UNKNOWN, "no route has this path"));
    }
    Authorization.Result authorization =
        Authorization.decide(state.catalogue(), route.get(), description.key());
    if (authorization.kind() != Authorization.Kind.GRANTED) {
      return refuse(state, description, unauthorized(authorization.kind()));
    }
    return route.get().isModelRoute()
        ? receiveModelCall(state, description, route.get(), authorization.clientAccount(), time)
        : admit(
            state,
            ActiveRequest.received(
                description, route.get(), authorization.clientAccount(), Optional.empty(), time));
  }

  private static Step<RequestState, RequestEffect> receiveModelCall(
      RequestState state,
      RequestDescription description,
      RouteItem route,
      Optional<ClientAccountName> account,
      MonotonicTime time) {
    if (description.path().endsWith(MODELS_OPERATION)) {
      return Step.of(
          state,
          new RequestEffect.AnswerModels(description.identifier(), modelsFor(state, account)));
    }
    if (description.modelCall().isEmpty()) {
      return refuse(
          state,
          description,
          Refusal.notRun(RefusalCode.ROUTE_UNKNOWN, "no operation of the model API has this path"));
    }
    AdapterReference reference;
    try {
      reference = AdapterReference.parse(description.modelCall().get().model());
    } catch (InvalidValueException exception) {
      return refuse(
          state, description, Refusal.notRun(RefusalCode.MODEL_UNKNOWN, exception.getMessage()));
    }
    Optional<AdapterItem> adapter =
        state
            .catalogue()
            .adapter(reference.adapter())
            .filter(item -> item.versions().contains(reference.version()));
    if (adapter.isEmpty()) {
      return refuse(
          state,
          description,
          Refusal.notRun(
              RefusalCode.MODEL_UNKNOWN, "no such adapter and version: " + reference.text()));
    }
    if (!mayUse(account).test(adapter.get())) {
      return refuse(
          state,
          description,
          Refusal.notRun(
              RefusalCode.FORBIDDEN, "the client account may not use " + reference.text()));
    }
    return admit(
        state, ActiveRequest.received(description, route, account, Optional.of(reference), time));
  }

  private static Step<RequestState, RequestEffect> admit(
      RequestState state, ActiveRequest request) {
    RequestState next = state.withEarnedRetryCredit();
    if (request.clientAccount().isEmpty()) {
      return RequestLifecycle.checkRepeatOrSubmit(next, request, request.received());
    }
    long tokens =
        request
            .description()
            .modelCall()
            .filter(call -> request.isModelCall())
            .map(ModelCall::totalTokens)
            .orElse(state.settings().plainCallTokens());
    return Step.of(
        next.with(request),
        new RequestEffect.Reserve(
            request.description().identifier(), request.clientAccount().get(), tokens));
  }

  private static List<AdapterReference> modelsFor(
      RequestState state, Optional<ClientAccountName> account) {
    return state
        .catalogue()
        .adapters()
        .filter(mayUse(account))
        .map(RequestAdmission::referencesTo)
        .flatMap(Collection::stream)
        .sorted()
        .toList();
  }

  private static List<AdapterReference> referencesTo(AdapterItem adapter) {
    return adapter.versions().stream()
        .map(version -> new AdapterReference(adapter.name(), version))
        .toList();
  }

  /** Returns a predicate for adapters that a client account may use; none without an account. */
  private static Predicate<AdapterItem> mayUse(Optional<ClientAccountName> account) {
    return adapter -> account.map(adapter.clientAccounts()::contains).orElse(false);
  }

  private static Refusal unauthorized(Authorization.Kind kind) {
    return switch (kind) {
      case KEY_MISSING ->
          Refusal.notRun(RefusalCode.KEY_MISSING, "send a key in the Authorization header");
      case KEY_UNKNOWN -> Refusal.notRun(RefusalCode.KEY_UNKNOWN, "the key is not valid");
      default ->
          Refusal.notRun(RefusalCode.FORBIDDEN, "the client account may not call this route");
    };
  }

  private static Step<RequestState, RequestEffect> refuse(
      RequestState state, RequestDescription description, Refusal refusal) {
    return Step.of(state, new RequestEffect.Refuse(description.identifier(), refusal));
  }
}
