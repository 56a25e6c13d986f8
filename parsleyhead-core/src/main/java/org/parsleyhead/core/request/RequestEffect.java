package org.parsleyhead.core.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.scheduling.ModelRequest;
import org.parsleyhead.core.ticket.RouteItem;
import org.parsleyhead.core.ticket.UpstreamItem;

/** The effects of {@link RequestTransition}. Implementations are immutable and thread-safe. */
public sealed interface RequestEffect {

  /** Returns the identifier of the request that the effect concerns. */
  RequestIdentifier identifier();

  /**
   * Reserves tokens of a client account.
   *
   * @param identifier the request
   * @param clientAccount the client account
   * @param tokens an upper bound of the tokens that the request uses
   */
  record Reserve(RequestIdentifier identifier, ClientAccountName clientAccount, long tokens)
      implements RequestEffect {}

  /**
   * Settles a reservation: charges the used tokens and returns the rest.
   *
   * @param identifier the request
   * @param clientAccount the client account
   * @param tokens the tokens that the request used
   */
  record Settle(RequestIdentifier identifier, ClientAccountName clientAccount, long tokens)
      implements RequestEffect {}

  /**
   * Cancels the reservation of a request that certainly did not run, or its place in the queue for
   * a reservation.
   *
   * @param identifier the request
   * @param clientAccount the client account
   */
  record Release(RequestIdentifier identifier, ClientAccountName clientAccount)
      implements RequestEffect {}

  /**
   * Checks whether a request that is not idempotent was received before, and records it.
   *
   * @param identifier the request
   * @param repeatKey the key that all repetitions of the request share
   */
  record CheckRepeat(RequestIdentifier identifier, String repeatKey) implements RequestEffect {}

  /**
   * Removes the record of a request that certainly did not run, so that the caller may send it
   * again.
   *
   * @param identifier the request
   */
  record ForgetRepeat(RequestIdentifier identifier) implements RequestEffect {}

  /**
   * Requests an engine for a model call.
   *
   * @param request the attributes of the request that scheduling uses
   */
  record SubmitModelCall(ModelRequest request) implements RequestEffect {

    @Override
    public RequestIdentifier identifier() {
      return request.identifier();
    }
  }

  /**
   * Requests an upstream for a call to a plain service.
   *
   * @param identifier the request
   * @param route the route
   * @param excluded the upstreams that must not be chosen, because an attempt there failed
   */
  record SubmitPlainCall(RequestIdentifier identifier, RouteItem route, Set<UpstreamName> excluded)
      implements RequestEffect {}

  /**
   * Withdraws a request from the queue for an upstream, or from the upstream that was chosen.
   *
   * @param identifier the request
   * @param upstream the upstream of the attempt; empty if none was chosen
   * @param result the result of the attempt
   * @param tokens the tokens that the attempt used
   */
  record Withdraw(
      RequestIdentifier identifier,
      Optional<UpstreamName> upstream,
      AttemptResult result,
      long tokens)
      implements RequestEffect {}

  /**
   * Sends the request to an upstream and relays the answer. A resumed answer continues after the
   * part that the caller already has.
   *
   * @param identifier the request
   * @param attempt the number of the attempt
   * @param upstream the chosen upstream
   * @param adapter the adapter and version that must answer; empty for plain services
   * @param writeDeadline the time after which the request is not sent at all
   * @param mayReuseConnection whether the request may be sent over a connection that was used
   *     before
   */
  record Send(
      RequestIdentifier identifier,
      int attempt,
      UpstreamItem upstream,
      Optional<AdapterReference> adapter,
      MonotonicTime writeDeadline,
      boolean mayReuseConnection)
      implements RequestEffect {}

  /**
   * Closes the connection of an attempt, which cancels it at the upstream.
   *
   * @param identifier the request
   * @param attempt the number of the attempt
   */
  record CancelAttempt(RequestIdentifier identifier, int attempt) implements RequestEffect {}

  /**
   * Refuses a request, or ends an answer that has started.
   *
   * @param identifier the request
   * @param refusal the refusal
   */
  record Refuse(RequestIdentifier identifier, Refusal refusal) implements RequestEffect {}

  /**
   * Answers with the list of models.
   *
   * @param identifier the request
   * @param models the adapters and versions that the client account may use
   */
  record AnswerModels(RequestIdentifier identifier, List<AdapterReference> models)
      implements RequestEffect {}
}
