package org.parsleyhead.core.dispatch;

import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.serving.AccountLimits;
import org.parsleyhead.core.serving.EngineProfile;
import org.parsleyhead.core.serving.ServiceDefinition;

/**
 * Sends requests to their chosen instances and adds their load there.
 *
 * <p>Immutable and thread-safe.
 */
final class RequestSends {

  private final DispatchSettings settings;
  private final RequestRetries retries;
  private final EligibleInstances eligible;

  RequestSends(DispatchSettings settings, RequestRetries retries, EligibleInstances eligible) {
    this.settings = settings;
    this.retries = retries;
    this.eligible = eligible;
  }

  /** Sends a request to the chosen instance, and charges a retry. */
  Step<DispatchState, DispatchEffect> send(
      DispatchState state, ActiveRequest active, Candidate candidate, MonotonicTime time) {
    InstanceView view = candidate.view();
    Optional<ModelWork> work = active.request().work();
    InstanceLoad addedLoad = addedLoad(active, view);
    Progress progress =
        active
            .progress()
            .sent(view.identifier(), addedLoad, estimate(state, active, view, addedLoad, time));
    InstanceView updated = view.withOwnLoad(view.ownLoad().plus(addedLoad));
    if (work.isPresent()) {
      long capacity = cacheTokens(state, active.service());
      updated =
          updated.withPrefixCache(
              updated.prefixCache().withPrompt(work.get(), active.prefixHashes(), capacity));
    }
    InstanceTable instances = state.instances().with(updated);
    if (work.isPresent() && active.progress().attempts() == 0) {
      instances =
          instances.withDemand(
              instances
                  .demand()
                  .withRequest(work.get().adapter(), addedLoad.pendingPromptTokens(), time));
    }
    DispatchState next = state.withInstances(instances);
    if (active.progress().attempts() > 0) {
      next = retries.charge(next, active, time);
    }
    next = eligible.charge(next, view, time);
    ActiveRequest sent = active.with(progress);
    DispatchEffect send =
        new DispatchEffect.Send(
            active.request(),
            progress.attempts(),
            view.instance(),
            active.deadline().since(time),
            active.urgency(),
            active.account().map(AccountLimits::name),
            active.route().kind().stream(),
            active.route().kind().repeatable(),
            work.map(requested -> state.versions().of(requested.adapter())).orElse(0L),
            inputs(active, candidate, state)
                + view.condition().inputs(time)
                + eligible.inputs(state, view, time));
    return Step.<DispatchState, DispatchEffect>of(next, send)
        .andThen(
            before ->
                RequestWakes.schedule(
                    before, sent, RequestTimeouts.firstSilenceCheckDelay(sent, time), time));
  }

  private static InstanceLoad addedLoad(ActiveRequest active, InstanceView view) {
    Optional<ModelWork> work = active.request().work();
    if (work.isEmpty()) {
      return new InstanceLoad(1, 0, 0);
    }
    int cached = view.prefixCache().cachedTokens(work.get(), active.prefixHashes());
    return new InstanceLoad(
        1, Math.max(0, work.get().promptTokens() - cached), work.get().totalTokens());
  }

  private SendEstimate estimate(
      DispatchState state,
      ActiveRequest active,
      InstanceView view,
      InstanceLoad addedLoad,
      MonotonicTime time) {
    boolean prompt =
        active.request().work().isPresent() && cacheTokens(state, active.service()) > 0;
    return prompt
        ? SendEstimate.ofPrompt(
            settings.prefillTokensPerMillisecond(), view.totalLoad(), addedLoad, time)
        : SendEstimate.ofPlain(active, view, time);
  }

  private static long cacheTokens(DispatchState state, String service) {
    return state
        .catalogue()
        .service(service)
        .flatMap(ServiceDefinition::engine)
        .map(EngineProfile::cacheTokens)
        .orElse(0L);
  }

  private static String inputs(ActiveRequest active, Candidate candidate, DispatchState state) {
    InstanceLoad load = candidate.view().totalLoad();
    return "catalogue="
        + state.catalogue().version()
        + " admitted_by="
        + active.catalogueVersion()
        + " cost_ms="
        + Math.round(candidate.cost())
        + " running="
        + load.running()
        + " unread="
        + load.pendingPromptTokens()
        + " orders="
        + candidate.view().adapters().orderCount();
  }
}
