package org.parsleyhead.core.scheduling;

import java.util.List;
import org.parsleyhead.core.api.AdapterReference;

/** Orders the engines that may serve an adapter. Implementations are pure. */
@FunctionalInterface
public interface PlacementOrder {

  /** Returns the eligible engines, most preferred first. */
  List<EngineChoice.Candidate> order(
      AdapterReference adapter, List<EngineChoice.Candidate> engines);
}
