package org.parsleyhead.core.dispatch;

import java.util.Optional;

/**
 * The phase of an active request and the instance that it is assigned to.
 *
 * <p>Immutable and thread-safe.
 *
 * @param phase the current phase
 * @param instance the identifier of the chosen instance; empty while the request waits
 * @param addedLoad the load that the request adds to its instance
 * @param answering whether the instance has begun to answer
 * @param estimate what was expected of the instance when the request was sent; empty before
 */
record Assignment(
    Phase phase,
    Optional<String> instance,
    InstanceLoad addedLoad,
    boolean answering,
    Optional<SendEstimate> estimate) {

  static final Assignment WAITING =
      new Assignment(Phase.WAITING, Optional.empty(), InstanceLoad.NONE, false, Optional.empty());

  static Assignment loading(String instance) {
    return new Assignment(
        Phase.LOADING, Optional.of(instance), InstanceLoad.NONE, false, Optional.empty());
  }

  static Assignment sent(String instance, InstanceLoad addedLoad, SendEstimate estimate) {
    return new Assignment(
        Phase.SENT, Optional.of(instance), addedLoad, false, Optional.of(estimate));
  }

  Assignment withAddedLoad(InstanceLoad load) {
    return new Assignment(phase, instance, load, answering, estimate);
  }

  Assignment withAnswering(InstanceLoad load) {
    return new Assignment(phase, instance, load, true, estimate);
  }
}
