package org.parsleyhead.standin.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.standin.engine.EngineSettings;
import org.parsleyhead.standin.mesh.MeshHost;
import org.parsleyhead.standin.plain.PlainServiceSettings;
import org.parsleyhead.standin.platform.WeightStoreSettings;

/**
 * What one process stands in for.
 *
 * <p>Immutable and thread-safe.
 *
 * @param administration the endpoint of the administration
 * @param configuration the endpoint of the configuration service
 * @param hosts the endpoint of the host list
 * @param hostsLag how long a new host list is not yet seen
 * @param weights the weight store of this process
 * @param weightStore the weight store that the engines use, possibly of another process
 * @param engines the engines
 * @param services the plain services
 * @param proxies the proxies that inject faults
 * @param mesh the proxies between entry hosts
 * @param ledgerFile the file of the ledger
 */
public record StandinSettings(
    Endpoint administration,
    Optional<Endpoint> configuration,
    Optional<Endpoint> hosts,
    Duration hostsLag,
    Optional<Weights> weights,
    Optional<Endpoint> weightStore,
    List<Engine> engines,
    List<Service> services,
    List<Proxy> proxies,
    Optional<Mesh> mesh,
    Optional<String> ledgerFile) {

  /** Copies the lists. */
  public StandinSettings {
    engines = List.copyOf(engines);
    services = List.copyOf(services);
    proxies = List.copyOf(proxies);
  }

  /** A weight store with its endpoint. */
  public record Weights(Endpoint endpoint, WeightStoreSettings settings) {}

  /** An engine with its name and endpoint. */
  public record Engine(String name, Endpoint endpoint, EngineSettings settings) {}

  /** A plain service with its name and endpoint. */
  public record Service(String name, Endpoint endpoint, PlainServiceSettings settings) {}

  /** A proxy with its name, where it listens, where it connects to and its delay one way. */
  public record Proxy(String name, Endpoint endpoint, Endpoint target, Duration delay) {}

  /** A mesh with its entry hosts, the endpoint of its first proxy and its delay one way. */
  public record Mesh(List<MeshHost> hosts, Endpoint firstProxy, Duration delay) {

    /** Copies the list. */
    public Mesh {
      hosts = List.copyOf(hosts);
    }
  }
}
