package org.parsleyhead.standin.administration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.standin.ModeChange;
import org.parsleyhead.standin.ServiceMode;
import org.parsleyhead.standin.Standin;
import org.parsleyhead.standin.StandinEnvironment;
import org.parsleyhead.standin.StandinException;
import org.parsleyhead.standin.engine.EngineService;
import org.parsleyhead.standin.http.Exchange;
import org.parsleyhead.standin.http.HttpListener;
import org.parsleyhead.standin.http.HttpRequestMessage;
import org.parsleyhead.standin.http.HttpResponseMessage;
import org.parsleyhead.standin.ledger.Ledger;
import org.parsleyhead.standin.ledger.LedgerCodec;
import org.parsleyhead.standin.mesh.HostMesh;
import org.parsleyhead.standin.platform.PublicationService;
import org.parsleyhead.standin.platform.WeightStore;
import org.parsleyhead.standin.proxy.FaultProxy;
import org.parsleyhead.standin.proxy.ProxyFault;
import org.parsleyhead.standin.proxy.ProxyFaultReader;

/**
 * The HTTP administration interface of all stand-ins of one process.
 *
 * <p>Immutable and thread-safe. A change is in effect once its response has been sent, or a few
 * milliseconds later if the stand-in is busy.
 */
public final class AdministrationService {

  private static final String HOSTS = "hosts";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpListener listener;
  private final List<Standin> standins;
  private final List<FaultProxy> proxies;
  private final Optional<HostMesh> mesh;
  private final Ledger ledger;
  private final StandinEnvironment environment;

  /** Creates an administration service whose listener is not yet open. */
  public AdministrationService(
      Endpoint endpoint,
      List<Standin> standins,
      List<FaultProxy> proxies,
      Optional<HostMesh> mesh,
      Ledger ledger,
      StandinEnvironment environment) {
    this.standins = List.copyOf(standins);
    this.proxies = List.copyOf(proxies);
    this.mesh = mesh;
    this.ledger = ledger;
    this.environment = environment;
    this.listener = new HttpListener(environment.eventLoops(), endpoint, this::handle);
  }

  /** Returns the listener. */
  public HttpListener listener() {
    return listener;
  }

  private void handle(HttpRequestMessage request, Exchange exchange) {
    if (request.pathAfterPrefix("/admin/modes/").isPresent() && request.method().equals("PUT")) {
      changeMode(request, exchange);
    } else if (request.pathAfterPrefix("/admin/restarts/").isPresent()
        && request.method().equals("POST")) {
      restart(request, exchange);
    } else if (request.pathAfterPrefix("/admin/proxies/").isPresent()
        && request.method().equals("PUT")) {
      switchProxy(request, exchange);
    } else if (request.path().equals("/admin/partitions")) {
      partition(request, exchange);
    } else {
      exchange.respond(handleOnEventLoop(request));
    }
  }

  private HttpResponseMessage handleOnEventLoop(HttpRequestMessage request) {
    if (request.pathAfterPrefix("/admin/values/").isPresent()) {
      return changeValue(request, request.pathAfterPrefix("/admin/values/").get());
    }
    if (request.hasMethodAndPath("PUT", "/admin/hosts")) {
      publishHosts(request.body());
      return HttpResponseMessage.empty(204);
    }
    if (request.hasMethodAndPath("GET", "/admin/calls")) {
      return HttpResponseMessage.json(200, counters());
    }
    if (request.hasMethodAndPath("GET", "/admin/ledger")) {
      return HttpResponseMessage.text(200, ledgerLines(request.query("upstream").orElse("")));
    }
    if (request.hasMethodAndPath("DELETE", "/admin/ledger")) {
      ledger.clear();
      return HttpResponseMessage.empty(204);
    }
    return HttpResponseMessage.error(404, "not_found", "no such call: " + request.path());
  }

  private void publishHosts(byte[] document) {
    mesh.ifPresent(hostMesh -> hostMesh.publish(document));
    if (mesh.isEmpty() || exists(HOSTS)) {
      publicationService(HOSTS).putHostList(document);
    }
  }

  private HttpResponseMessage changeValue(HttpRequestMessage request, String path) {
    switch (request.method()) {
      case "PUT" -> publicationService("configuration").put(path, request.body());
      case "DELETE" -> publicationService("configuration").delete(path);
      default -> {
        return HttpResponseMessage.error(405, "method_not_allowed", "PUT or DELETE");
      }
    }
    return HttpResponseMessage.empty(204);
  }

  private void changeMode(HttpRequestMessage request, Exchange exchange) {
    Standin standin = find(request.pathAfterPrefix("/admin/modes/").orElseThrow());
    ModeChange change = readMode(request);
    runOffEventLoop(
        exchange,
        () -> {
          standin.changeMode(change);
          if (change.mode() == ServiceMode.DOWN) {
            standin.listener().close();
          } else {
            standin.listener().open();
          }
        });
  }

  private void restart(HttpRequestMessage request, Exchange exchange) {
    Standin standin = find(request.pathAfterPrefix("/admin/restarts/").orElseThrow());
    if (!(standin instanceof EngineService engine)) {
      throw new StandinException(StandinException.BAD_REQUEST, "only engines restart");
    }
    runOffEventLoop(exchange, engine::restart);
  }

  private void switchProxy(HttpRequestMessage request, Exchange exchange) {
    String name = request.pathAfterPrefix("/admin/proxies/").orElseThrow();
    FaultProxy proxy =
        proxies.stream()
            .filter(candidate -> candidate.name().equals(name))
            .findFirst()
            .orElseThrow(
                () ->
                    new StandinException(
                        StandinException.BAD_REQUEST, "there is no proxy named " + name));
    ProxyFault fault = ProxyFaultReader.read(request.body());
    runOffEventLoop(exchange, () -> proxy.applyFault(fault));
  }

  private void partition(HttpRequestMessage request, Exchange exchange) {
    HostMesh hostMesh =
        mesh.orElseThrow(
            () -> new StandinException(StandinException.BAD_REQUEST, "there is no mesh"));
    if (request.method().equals("DELETE")) {
      runOffEventLoop(exchange, hostMesh::heal);
    } else {
      Partition partition = Partition.read(request.body());
      runOffEventLoop(exchange, () -> hostMesh.partition(partition.groups(), partition.fault()));
    }
  }

  /**
   * Runs an action on the maintenance executor, because it waits for event loops and must not block
   * one.
   */
  private void runOffEventLoop(Exchange exchange, Runnable action) {
    environment
        .maintenance()
        .execute(
            () -> {
              try {
                action.run();
                exchange.respond(HttpResponseMessage.empty(204));
              } catch (StandinException exception) {
                exchange.respond(
                    HttpResponseMessage.error(500, exception.code(), exception.getMessage()));
              }
            });
  }

  private static ModeChange readMode(HttpRequestMessage request) {
    try {
      JsonNode body = MAPPER.readTree(request.body());
      return new ModeChange(
          ServiceMode.parse(body.path("mode").asText()),
          Duration.ofMillis(body.path("delay_milliseconds").asLong()));
    } catch (IOException exception) {
      throw new StandinException(StandinException.BAD_REQUEST, "the body is not JSON", exception);
    }
  }

  private ObjectNode counters() {
    ObjectNode document = JsonNodeFactory.instance.objectNode();
    for (Standin standin : standins) {
      ObjectNode entry = document.putObject(standin.name()).put("calls", standin.requestCount());
      if (standin instanceof PublicationService publication) {
        entry.put("waiting_watches", publication.pendingWatches());
      }
      if (standin instanceof EngineService engine) {
        EngineService.Counters counters = engine.counters();
        entry.put("steps", counters.steps()).put("tokens", counters.tokens());
        entry.put("loads", counters.loads()).put("adapters", counters.adapters());
      }
      if (standin instanceof WeightStore store) {
        entry.put("refused", store.refusedTransfers());
      }
    }
    return document;
  }

  private String ledgerLines(String upstream) {
    return ledger.entries().stream()
        .filter(entry -> upstream.isEmpty() || entry.upstream().equals(upstream))
        .map(LedgerCodec::encode)
        .map(line -> line + "\n")
        .collect(Collectors.joining());
  }

  private PublicationService publicationService(String name) {
    if (find(name) instanceof PublicationService publication) {
      return publication;
    }
    throw new StandinException(StandinException.BAD_REQUEST, name + " holds no values");
  }

  private boolean exists(String name) {
    return standins.stream().anyMatch(standin -> standin.name().equals(name));
  }

  private Standin find(String name) {
    return standins.stream()
        .filter(standin -> standin.name().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new StandinException(
                    StandinException.BAD_REQUEST, "there is no stand-in named " + name));
  }
}
