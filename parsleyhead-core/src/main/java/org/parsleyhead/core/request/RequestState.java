package org.parsleyhead.core.request;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.ticket.Catalogue;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The active requests of this host, the catalogue that decisions use and the retry credit.
 *
 * <p>Immutable and thread-safe.
 */
public final class RequestState {

  private final RequestSettings settings;
  private final Catalogue catalogue;
  private final PMap<RequestIdentifier, ActiveRequest> active;
  private final double retryCredit;

  private RequestState(
      RequestSettings settings,
      Catalogue catalogue,
      PMap<RequestIdentifier, ActiveRequest> active,
      double retryCredit) {
    this.settings = settings;
    this.catalogue = catalogue;
    this.active = active;
    this.retryCredit = retryCredit;
  }

  /** Returns the initial state: no requests, an empty catalogue and the full retry credit. */
  public static RequestState initial(RequestSettings settings) {
    Preconditions.requireNonNull(settings, "settings");
    return new RequestState(
        settings, Catalogue.empty(), HashTreePMap.empty(), settings.maximumRetryCredit());
  }

  /** Returns the number of active requests. */
  public int activeCount() {
    return active.size();
  }

  /** Returns the catalogue that decisions use. */
  public Catalogue catalogue() {
    return catalogue;
  }

  RequestSettings settings() {
    return settings;
  }

  PMap<RequestIdentifier, ActiveRequest> active() {
    return active;
  }

  Optional<ActiveRequest> find(RequestIdentifier identifier) {
    return Optional.ofNullable(active.get(identifier));
  }

  boolean hasRetryCredit() {
    return retryCredit >= 1;
  }

  RequestState with(Catalogue next) {
    return new RequestState(settings, next, active, retryCredit);
  }

  RequestState with(ActiveRequest request) {
    return new RequestState(
        settings, catalogue, active.plus(request.description().identifier(), request), retryCredit);
  }

  RequestState without(RequestIdentifier identifier) {
    return new RequestState(settings, catalogue, active.minus(identifier), retryCredit);
  }

  RequestState withEarnedRetryCredit() {
    double earned = Math.min(settings.maximumRetryCredit(), retryCredit + settings.retryRatio());
    return new RequestState(settings, catalogue, active, earned);
  }

  RequestState withSpentRetryCredit() {
    return new RequestState(settings, catalogue, active, retryCredit - 1);
  }
}
