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

/** What is to be done for requests. All effects are immutable. */
public sealed interface RequestEffect {

  /** Returns the request that the effect is for. */
  RequestIdentifier identifier();

  /**
   * Reserve tokens of a client account.
   *
   * @param identifier the request
   * @param clientAccount the client account
   * @param tokens an upper bound of the tokens
   */
  record Reserve(RequestIdentifier identifier, ClientAccountName clientAccount, long tokens)
      implements RequestEffect {}

  /**
   * Give back what a request did not use of its reservation.
   *
   * @param identifier the request
   * @param clientAccount the client account
   * @param tokens the tokens that it used
   */
  record Settle(RequestIdentifier identifier, ClientAccountName clientAccount, long tokens)
      implements RequestEffect {}

  /**
   * Give back the reservation of a request that certainly did not run, or its place in the wait for
   * one.
   *
   * @param identifier the request
   * @param clientAccount the client account
   */
  record Release(RequestIdentifier identifier, ClientAccountName clientAccount)
      implements RequestEffect {}

  /**
   * Find out whether a request that is not idempotent was received before, and record it.
   *
   * @param identifier the request
   * @param repeatKey equal for each repetition of the request
   */
  record CheckRepeat(RequestIdentifier identifier, String repeatKey) implements RequestEffect {}

  /**
   * A request that was checked for repetition certainly did not run; it may be sent again.
   *
   * @param identifier the request
   */
  record ForgetRepeat(RequestIdentifier identifier) implements RequestEffect {}

  /**
   * Choose an engine for a call to a model.
   *
   * @param request the request as scheduling sees it
   */
  record SubmitModelCall(ModelRequest request) implements RequestEffect {

    @Override
    public RequestIdentifier identifier() {
      return request.identifier();
    }
  }

  /**
   * Choose a plain service for a call.
   *
   * @param identifier the request
   * @param route the route
   * @param excluded upstreams that failed it before
   */
  record SubmitPlainCall(RequestIdentifier identifier, RouteItem route, Set<UpstreamName> excluded)
      implements RequestEffect {}

  /**
   * The request no longer waits for an upstream, or no longer runs on the chosen one.
   *
   * @param identifier the request
   * @param upstream the upstream it ran on, if any
   * @param result how the attempt ended
   * @param tokens the tokens it used
   */
  record Withdraw(
      RequestIdentifier identifier,
      Optional<UpstreamName> upstream,
      AttemptResult result,
      long tokens)
      implements RequestEffect {}

  /**
   * Send the request to an upstream and pass the answer on, behind what the caller already has.
   *
   * @param identifier the request
   * @param attempt the number of the attempt
   * @param upstream the upstream
   * @param adapter the adapter and version that must answer; empty for plain services
   * @param writeBefore until when the request may be written; after that it is not sent at all
   * @param mayShareConnection whether it may use a connection that was used before
   */
  record Send(
      RequestIdentifier identifier,
      int attempt,
      UpstreamItem upstream,
      Optional<AdapterReference> adapter,
      MonotonicTime writeBefore,
      boolean mayShareConnection)
      implements RequestEffect {}

  /**
   * Close the connection of an attempt, which cancels it at the upstream.
   *
   * @param identifier the request
   * @param attempt the number of the attempt
   */
  record CancelAttempt(RequestIdentifier identifier, int attempt) implements RequestEffect {}

  /**
   * Tell the caller that there is no answer, or no more of it.
   *
   * @param identifier the request
   * @param refusal the refusal
   */
  record Refuse(RequestIdentifier identifier, Refusal refusal) implements RequestEffect {}

  /**
   * Answer with the list of models.
   *
   * @param identifier the request
   * @param models the adapters and versions that the client account may use
   */
  record AnswerModels(RequestIdentifier identifier, List<AdapterReference> models)
      implements RequestEffect {}
}
