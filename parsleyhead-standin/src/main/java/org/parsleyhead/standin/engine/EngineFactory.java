package org.parsleyhead.standin.engine;

import java.time.Duration;
import java.util.Optional;
import org.asynchttpclient.AsyncHttpClient;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.standin.StandinEnvironment;
import org.parsleyhead.standin.ledger.Ledger;

/**
 * Creates the engine stand-ins of one process.
 *
 * <p>Immutable and thread-safe.
 */
public final class EngineFactory {

  private static final Duration FIXED_FETCH_TIME = Duration.ofMillis(250);

  private final AsyncHttpClient client;
  private final Optional<Endpoint> weightStore;
  private final Ledger ledger;
  private final StandinEnvironment environment;

  /**
   * Creates a factory for engines that share a weight store, a ledger and an environment.
   *
   * @param client the client that fetches weights
   * @param weightStore the weight store; if it is empty, each load takes a fixed time
   * @param ledger the ledger in which the engines record their work
   * @param environment the environment of the process
   */
  public EngineFactory(
      AsyncHttpClient client,
      Optional<Endpoint> weightStore,
      Ledger ledger,
      StandinEnvironment environment) {
    this.client = client;
    this.weightStore = weightStore;
    this.ledger = ledger;
    this.environment = environment;
  }

  /** Creates an engine and starts its duty; its listener is not yet open. */
  public EngineService create(String name, Endpoint endpoint, EngineSettings settings) {
    return new EngineService(name, endpoint, settings, weightSource(), ledger, environment);
  }

  private WeightSource weightSource() {
    if (weightStore.isPresent()) {
      return new HttpWeightSource(client, weightStore.get());
    }
    return (path, callback) ->
        environment
            .timer()
            .schedule(FIXED_FETCH_TIME, () -> callback.accept(FetchOutcome.SUCCEEDED));
  }
}
