package org.parsleyhead.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.Step;

/**
 * Decides how an engine handles orders to load and unload adapters.
 *
 * <p>Immutable and thread-safe. The engine never evicts an adapter on its own: a load is refused
 * while all slots are taken. An order to unload an adapter that running requests use is carried out
 * and reported as a violation.
 */
final class AdapterOrderRules {

  private final EngineSettings settings;

  AdapterOrderRules(EngineSettings settings) {
    this.settings = settings;
  }

  Step<EngineState, EngineEffect> load(EngineState state, EngineEvent.Load order) {
    if (isFenced(state, order.fencingNumber())) {
      return refuseFenced(state, order.exchange());
    }
    EngineState fencedState = recordFencingNumber(state, order.fencingNumber());
    EngineState.AdapterState current = state.adapters().get(order.adapter());
    if (current instanceof EngineState.Resident) {
      return refuse(
          fencedState,
          order.exchange(),
          400,
          "InvalidUserInput",
          "The lora adapter '" + order.adapter() + "' has already been loaded.");
    }
    if (current instanceof EngineState.Loading loading) {
      return Step.of(addWaitingOrder(fencedState, order, loading));
    }
    if (state.adapters().size() >= settings.limits().adapterSlots()) {
      return refuse(fencedState, order.exchange(), 409, "no_free_slot", "All slots are taken.");
    }
    EngineState.AdapterState loading = new EngineState.Loading(List.of(order.exchange()));
    EngineState started =
        fencedState
            .withAdapters(state.adapters().plus(order.adapter(), loading))
            .withTotals(state.totals().withLoad());
    return Step.of(started, new EngineEffect.FetchWeights(order.adapter(), order.path()));
  }

  Step<EngineState, EngineEffect> unload(EngineState state, EngineEvent.Unload order) {
    if (isFenced(state, order.fencingNumber())) {
      return refuseFenced(state, order.exchange());
    }
    EngineState fencedState = recordFencingNumber(state, order.fencingNumber());
    String adapter = order.adapter();
    if (!state.isResident(adapter)) {
      return refuse(
          fencedState,
          order.exchange(),
          404,
          "NotFoundError",
          "The lora adapter '" + adapter + "' cannot be found.");
    }
    List<EngineEffect> effects = new ArrayList<>();
    if (isServing(state.running(), adapter)) {
      effects.add(
          new EngineEffect.Violation(
              "unload_while_serving", adapter, Optional.of(order.exchange())));
    }
    effects.add(
        new EngineEffect.OrderSucceeded(
            order.exchange(), "Success: LoRA adapter '" + adapter + "' removed successfully."));
    return new Step<>(fencedState.withAdapters(state.adapters().minus(adapter)), effects);
  }

  Step<EngineState, EngineEffect> completeFetch(
      EngineState state, EngineEvent.WeightsFetched event) {
    String adapter = event.adapter();
    if (!(state.adapters().get(adapter) instanceof EngineState.Loading loading)) {
      return Step.of(state);
    }
    if (!event.outcome().succeeded()) {
      return failLoad(state, adapter, loading, event.outcome());
    }
    if (isLoadFailureInjected(state, adapter)) {
      return failLoad(state, adapter, loading, new FetchOutcome(500, Optional.empty()));
    }
    List<EngineEffect> effects = new ArrayList<>();
    for (long order : loading.orders()) {
      effects.add(
          new EngineEffect.OrderSucceeded(
              order, "Success: LoRA adapter '" + adapter + "' added successfully."));
    }
    return new Step<>(
        state.withAdapters(state.adapters().plus(adapter, new EngineState.Resident())), effects);
  }

  private Step<EngineState, EngineEffect> failLoad(
      EngineState state, String adapter, EngineState.Loading loading, FetchOutcome outcome) {
    List<EngineEffect> effects = new ArrayList<>();
    for (long order : loading.orders()) {
      effects.add(
          new EngineEffect.Refuse(
              order,
              outcome.status() == 429 ? 503 : outcome.status(),
              outcome.status() == 429 ? "weight_store_rate" : "load_failed",
              "The lora adapter '" + adapter + "' could not be loaded.",
              outcome.retryAfter()));
    }
    return new Step<>(state.withAdapters(state.adapters().minus(adapter)), effects);
  }

  private boolean isLoadFailureInjected(EngineState state, String adapter) {
    long hash =
        TokenSequence.mix(
            settings.faults().seed() + adapter.hashCode() * 31L + state.totals().loads());
    double sample = (hash >>> 11) * 0x1.0p-53;
    return sample < settings.faults().loadFailureRate();
  }

  private static EngineState addWaitingOrder(
      EngineState state, EngineEvent.Load order, EngineState.Loading loading) {
    List<Long> orders = new ArrayList<>(loading.orders());
    orders.add(order.exchange());
    return state.withAdapters(
        state.adapters().plus(order.adapter(), new EngineState.Loading(List.copyOf(orders))));
  }

  private boolean isFenced(EngineState state, Optional<Long> fencingNumber) {
    return settings.faults().checksFencing()
        && fencingNumber.orElse(0L) < state.highestFencingNumber();
  }

  private static EngineState recordFencingNumber(EngineState state, Optional<Long> fencingNumber) {
    return state.withFencingNumber(
        Math.max(state.highestFencingNumber(), fencingNumber.orElse(0L)));
  }

  private static Step<EngineState, EngineEffect> refuseFenced(EngineState state, long exchange) {
    return refuse(
        state, exchange, 409, "fenced", "A higher fencing number than this order's was seen.");
  }

  private static Step<EngineState, EngineEffect> refuse(
      EngineState state, long exchange, int status, String type, String message) {
    return Step.of(
        state, new EngineEffect.Refuse(exchange, status, type, message, Optional.empty()));
  }

  private static boolean isServing(List<Sequence> running, String adapter) {
    return running.stream().anyMatch(sequence -> sequence.request().model().equals(adapter));
  }
}
