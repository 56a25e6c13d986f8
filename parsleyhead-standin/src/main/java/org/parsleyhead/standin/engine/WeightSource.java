package org.parsleyhead.standin.engine;

import java.util.function.Consumer;

/** Fetches the weights of adapters. Implementations are thread-safe and do not block. */
@FunctionalInterface
interface WeightSource {

  /** Fetches the weights at a path and calls back exactly once, from any thread. */
  void fetch(String path, Consumer<FetchOutcome> callback);
}
