package org.parsleyhead.core.dispatch;

import java.util.Collection;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.serving.ServiceDefinition;

/** Chooses the instance for a request. Implementations are pure. */
@FunctionalInterface
interface InstanceChoice {

  /**
   * Returns the best candidate; empty if there are no candidates.
   *
   * @param request the request
   * @param service the definition of its service
   * @param candidates the instances that it may be sent to
   * @param context the observations of this host
   * @param time the current time
   */
  Optional<Candidate> choose(
      ActiveRequest request,
      Optional<ServiceDefinition> service,
      Collection<InstanceView> candidates,
      PlacementContext context,
      MonotonicTime time);
}
