package org.parsleyhead.standin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.asynchttpclient.AsyncHttpClient;
import org.parsleyhead.standin.administration.AdministrationService;
import org.parsleyhead.standin.engine.EngineFactory;
import org.parsleyhead.standin.ledger.Ledger;
import org.parsleyhead.standin.mesh.HostMesh;
import org.parsleyhead.standin.plain.PlainService;
import org.parsleyhead.standin.platform.PublicationService;
import org.parsleyhead.standin.platform.WeightStore;
import org.parsleyhead.standin.proxy.DirectionFault;
import org.parsleyhead.standin.proxy.FaultProxy;
import org.parsleyhead.standin.proxy.ProxyFault;
import org.parsleyhead.standin.settings.StandinSettings;

/**
 * All stand-ins, fault proxies and the administration service of one process.
 *
 * <p>Thread-safe. All listeners are open from {@link #open()} until {@link #close()}, except those
 * that the administration service has closed.
 */
public final class StandinFleet implements AutoCloseable {

  private final List<Standin> standins;
  private final List<FaultProxy> proxies;
  private final AdministrationService administration;
  private final Ledger ledger;

  /** Creates the stand-ins that the settings describe; their listeners are not yet open. */
  public StandinFleet(
      StandinSettings settings, AsyncHttpClient client, StandinEnvironment environment) {
    this.ledger =
        settings.ledgerFile().map(Path::of).map(Ledger::inFile).orElseGet(Ledger::inMemory);
    Optional<HostMesh> mesh =
        settings.mesh().map(meshSettings -> createMesh(meshSettings, settings, environment));
    List<Standin> all = new ArrayList<>(create(settings, client, ledger, environment));
    List<FaultProxy> allProxies = new ArrayList<>();
    settings.proxies().forEach(proxy -> allProxies.add(createProxy(proxy, environment)));
    mesh.ifPresent(
        created -> {
          all.addAll(created.hostLists());
          allProxies.addAll(created.proxies());
        });
    this.standins = List.copyOf(all);
    this.proxies = List.copyOf(allProxies);
    this.administration =
        new AdministrationService(
            settings.administration(), standins, proxies, mesh, ledger, environment);
  }

  private static List<Standin> create(
      StandinSettings settings,
      AsyncHttpClient client,
      Ledger ledger,
      StandinEnvironment environment) {
    List<Standin> standins = new ArrayList<>();
    settings
        .configuration()
        .map(endpoint -> PublicationService.configuration(endpoint, environment))
        .ifPresent(standins::add);
    settings
        .hosts()
        .map(endpoint -> PublicationService.hosts(endpoint, settings.hostsLag(), environment))
        .ifPresent(standins::add);
    settings
        .weights()
        .map(weights -> new WeightStore(weights.endpoint(), weights.settings(), environment))
        .ifPresent(standins::add);
    EngineFactory engines = new EngineFactory(client, settings.weightStore(), ledger, environment);
    settings
        .engines()
        .forEach(
            engine ->
                standins.add(engines.create(engine.name(), engine.endpoint(), engine.settings())));
    settings
        .services()
        .forEach(
            service ->
                standins.add(
                    new PlainService(
                        service.name(),
                        service.endpoint(),
                        service.settings(),
                        ledger,
                        environment)));
    return standins;
  }

  private static HostMesh createMesh(
      StandinSettings.Mesh mesh, StandinSettings settings, StandinEnvironment environment) {
    return new HostMesh(
        mesh.hosts(),
        mesh.firstProxy().address(),
        mesh.firstProxy().port(),
        mesh.delay(),
        settings.hostsLag(),
        environment);
  }

  private static FaultProxy createProxy(
      StandinSettings.Proxy proxy, StandinEnvironment environment) {
    DirectionFault delay = DirectionFault.delayed(proxy.delay());
    return new FaultProxy(
        proxy.name(),
        proxy.endpoint(),
        proxy.target(),
        ProxyFault.forDirections(ProxyFault.Scope.ALL, delay, delay),
        environment.eventLoops(),
        environment.clock());
  }

  /**
   * Opens all listeners.
   *
   * @throws StandinException if an endpoint cannot be bound
   */
  public void open() {
    standins.forEach(standin -> standin.listener().open());
    proxies.forEach(FaultProxy::open);
    administration.listener().open();
  }

  /** Returns one line of key=value pairs for each listener. */
  public List<String> describe() {
    List<String> lines = new ArrayList<>();
    standins.forEach(
        standin ->
            lines.add(
                line(standin.kind(), standin.name(), standin.listener().endpoint().toString())));
    proxies.forEach(proxy -> lines.add(line("proxy", proxy.name(), proxy.endpoint().toString())));
    lines.add(
        line("administration", "administration", administration.listener().endpoint().toString()));
    return lines;
  }

  private static String line(String kind, String name, String endpoint) {
    return "standin=" + kind + " name=" + name + " endpoint=" + endpoint;
  }

  @Override
  public void close() {
    administration.listener().close();
    proxies.forEach(FaultProxy::close);
    standins.forEach(Standin::close);
    ledger.close();
  }
}
