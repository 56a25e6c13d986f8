package org.parsleyhead.core.scheduling;

import java.util.List;
import org.parsleyhead.core.api.AdapterReference;

/** Orders the engines on which an adapter could be loaded. Implementations are pure. */
@FunctionalInterface
public interface PlacementOrder {

  /** Returns the engines that come into question, the most preferred first. */
  List<EngineChoice.Candidate> order(
      AdapterReference adapter, List<EngineChoice.Candidate> engines);
}
