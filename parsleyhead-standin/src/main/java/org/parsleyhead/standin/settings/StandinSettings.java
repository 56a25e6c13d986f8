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
 * The settings of a stand-in process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param administration the endpoint of the administration service
 * @param configuration the endpoint of the configuration service
 * @param hosts the endpoint of the host list
 * @param hostsLag the time until a new host list becomes visible
 * @param weights the weight store that runs in this process
 * @param weightStore the endpoint of the weight store that the engines use, which may run in
 *     another process
 * @param engines the engines
 * @param services the plain services
 * @param proxies the fault proxies
 * @param mesh the mesh of fault proxies between entry hosts
 * @param ledgerFile the path of the ledger file
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

  /** The endpoint and settings of a weight store. */
  public record Weights(Endpoint endpoint, WeightStoreSettings settings) {}

  /** The name, endpoint and settings of an engine. */
  public record Engine(String name, Endpoint endpoint, EngineSettings settings) {}

  /** The name, endpoint and settings of a plain service. */
  public record Service(String name, Endpoint endpoint, PlainServiceSettings settings) {}

  /** The name, listening endpoint, target and one-way delay of a fault proxy. */
  public record Proxy(String name, Endpoint endpoint, Endpoint target, Duration delay) {}

  /**
   * The entry hosts of a mesh, the endpoint from which the ports of its proxies are counted and the
   * one-way delay of the proxies.
   */
  public record Mesh(List<MeshHost> hosts, Endpoint firstProxy, Duration delay) {

    /** Copies the hosts. */
    public Mesh {
      hosts = List.copyOf(hosts);
    }
  }
}
