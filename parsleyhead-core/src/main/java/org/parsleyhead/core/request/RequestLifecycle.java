package org.parsleyhead.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.scheduling.ModelRequest;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.Priority;

/**
 * Decides the transitions of an active request between its phases, and what it releases when it is
 * refused or cancelled.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestLifecycle {

  /** The client account under which scheduling counts callers without a key. */
  private static final ClientAccountName ANONYMOUS = new ClientAccountName("anonymous");

  /**
   * The base model of a request whose adapter was deleted after the request was received. No engine
   * serves it.
   */
  private static final ModelName UNDECLARED = new ModelName("undeclared");

  private RequestLifecycle() {}

  /** Submits an idempotent request; any other request is checked for repetition first. */
  static Step<RequestState, RequestEffect> checkRepeatOrSubmit(
      RequestState state, ActiveRequest request, MonotonicTime time) {
    if (request.route().idempotent()) {
      return submit(state, request, time);
    }
    return Step.of(
        state.with(request.withPhase(ActiveRequest.Phase.CHECKING_REPEAT)),
        new RequestEffect.CheckRepeat(request.identifier(), repeatKey(request)));
  }

  /** Queues a request until an upstream is chosen for it. */
  static Step<RequestState, RequestEffect> submit(
      RequestState state, ActiveRequest request, MonotonicTime time) {
    RequestIdentifier identifier = request.identifier();
    RequestState next = state.with(request.withPhase(ActiveRequest.Phase.QUEUED));
    if (!request.isModelCall()) {
      return Step.of(
          next,
          new RequestEffect.SubmitPlainCall(
              identifier, request.route(), request.attempts().excluded()));
    }
    return Step.of(next, new RequestEffect.SubmitModelCall(modelRequest(state, request, time)));
  }

  private static ModelRequest modelRequest(
      RequestState state, ActiveRequest request, MonotonicTime time) {
    ModelCall call = request.description().modelCall().orElseThrow();
    AdapterReference adapter = request.adapter().orElseThrow();
    long rate =
        request
            .clientAccount()
            .flatMap(state.catalogue()::clientAccount)
            .map(ClientAccountItem::tokensPerSecond)
            .orElse(1L);
    return new ModelRequest(
        request.identifier(),
        state.catalogue().adapter(adapter.adapter()).map(AdapterItem::baseModel).orElse(UNDECLARED),
        adapter,
        request.clientAccount().orElse(ANONYMOUS),
        Math.max(1, rate),
        priorityOf(request, call),
        call.promptTokens(),
        call.maximumTokens(),
        OptionalLong.of(call.prefixHash()),
        request.deadline().since(time),
        request.attempts().excluded());
  }

  /**
   * Ends a request that did not get a complete answer. If an upstream may have run the request, the
   * refusal reports an unknown outcome and does not propose a retry.
   */
  static Step<RequestState, RequestEffect> refuse(
      RequestState state, ActiveRequest request, Refusal refusal, int tokensPassed) {
    Refusal effective =
        request.attempts().mayHaveRun()
            ? new Refusal(
                refusal.code(), refusal.message(), ExecutionOutcome.UNKNOWN, Optional.empty())
            : refusal;
    List<RequestEffect> effects = release(state, request, AttemptResult.CANCELLED, tokensPassed);
    effects.add(new RequestEffect.Refuse(request.identifier(), effective));
    return new Step<>(state.without(request.identifier()), effects);
  }

  /**
   * Returns the effects that release what a request holds: its attempt, its place in the queue, its
   * repeat record and its token reservation. The repeat record stays if the request may have run.
   */
  static List<RequestEffect> release(
      RequestState state, ActiveRequest request, AttemptResult result, int tokensPassed) {
    RequestIdentifier identifier = request.identifier();
    List<RequestEffect> effects = new ArrayList<>();
    if (request.phase() == ActiveRequest.Phase.RUNNING) {
      effects.add(new RequestEffect.CancelAttempt(identifier, request.attempts().count()));
    }
    if (request.phase() == ActiveRequest.Phase.RUNNING
        || request.phase() == ActiveRequest.Phase.QUEUED) {
      effects.add(
          new RequestEffect.Withdraw(identifier, runningUpstream(request), result, tokensPassed));
    }
    if (!request.route().idempotent() && !request.attempts().mayHaveRun()) {
      effects.add(new RequestEffect.ForgetRepeat(identifier));
    }
    request
        .clientAccount()
        .ifPresent(
            account ->
                effects.add(
                    request.attempts().mayHaveRun()
                        ? new RequestEffect.Settle(
                            identifier, account, usedTokensBound(state, request, tokensPassed))
                        : new RequestEffect.Release(identifier, account)));
    return effects;
  }

  private static Optional<UpstreamName> runningUpstream(ActiveRequest request) {
    return request.phase() == ActiveRequest.Phase.RUNNING
        ? request.attempts().upstream()
        : Optional.empty();
  }

  /**
   * Returns an upper bound of the tokens that an unfinished request used. The number of generated
   * tokens is known only for a stream that has started.
   */
  private static long usedTokensBound(RequestState state, ActiveRequest request, int tokensPassed) {
    if (!request.isModelCall()) {
      return state.settings().plainCallTokens();
    }
    ModelCall call = request.description().modelCall().orElseThrow();
    return request.isStreamed() && request.attempts().answerStarted()
        ? (long) call.promptTokens() + tokensPassed
        : call.totalTokens();
  }

  /**
   * Returns the key under which repetitions of a request are detected: the route, the client
   * account and the idempotency key, or the content digest if the caller sent no idempotency key.
   */
  private static String repeatKey(ActiveRequest request) {
    String account = request.clientAccount().map(name -> name.text()).orElse("");
    String repetition =
        request
            .description()
            .idempotencyKey()
            .map(key -> "key:" + key)
            .orElseGet(() -> "content:" + request.description().contentDigest());
    return request.route().name() + "/" + account + "/" + repetition;
  }

  /** Returns the priority of a call; a batch route never runs interactive requests. */
  private static Priority priorityOf(ActiveRequest request, ModelCall call) {
    return request.route().priority() == Priority.BATCH ? Priority.BATCH : call.priority();
  }
}
