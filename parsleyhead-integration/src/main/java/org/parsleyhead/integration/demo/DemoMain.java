package org.parsleyhead.integration.demo;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.FleetException;
import org.parsleyhead.integration.fleet.FleetHttpClient;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;

/**
 * Runs the demonstration: starts stand-ins and two entry hosts as separate processes and sends a
 * streamed chat, a stock call and a dispatch. With {@code --stay} it prints all endpoints instead
 * and runs until it is terminated.
 *
 * <p>Confined to one thread.
 */
public final class DemoMain {

  private static final int ENGINES = 3;
  private static final int ENTRY_HOSTS = 2;
  private static final int STATUS_OK = 200;
  private static final Duration DISPATCH_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
  private static final String MODEL = "adapter-1@2";
  private static final Map<String, String> SETTINGS = Map.of("repeats.window", "\"11 s\"");

  private final LocalFleet fleet;
  private final FleetHttpClient client = new FleetHttpClient();

  private DemoMain(LocalFleet fleet) {
    this.fleet = fleet;
  }

  /** Runs the demonstration. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    boolean stay = List.of(arguments).contains("--stay");
    Path directory = Files.createTempDirectory("parsleyhead-demo");
    StandinLayout layout = StandinLayout.onFreePorts(ENGINES, List.of("stock-1", "dispatch-1"));
    System.out.println("event=starting engines=" + ENGINES + " entry_hosts=" + ENTRY_HOSTS);
    LocalFleet fleet = Fleets.start(directory, layout, ENTRY_HOSTS, SETTINGS);
    Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "stop-processes"));
    try {
      if (stay) {
        new DemoMain(fleet).keepRunning();
      } else {
        new DemoMain(fleet).runDemonstration();
      }
    } catch (FleetException exception) {
      System.err.println("event=failed reason=\"" + exception.getMessage() + "\"");
      System.exit(1);
    }
  }

  private void runDemonstration() {
    EntryHost first = fleet.hosts().get(0);
    EntryHost second = fleet.hosts().get(1);
    printResponse(
        "chat",
        first,
        client.call(
            "POST",
            first.callerEndpoint(),
            "/v1/chat/completions",
            SampleTickets.CORDIALS_KEY,
            "{\"model\":\""
                + MODEL
                + "\",\"stream\":true,\"max_tokens\":6,\"messages\":"
                + "[{\"role\":\"user\",\"content\":\"Which syrup follows?\"}]}"));
    printResponse(
        "stock",
        second,
        client.call(
            "GET",
            second.callerEndpoint(),
            "/stock/sorrel-cordial",
            SampleTickets.CORDIALS_KEY,
            ""));
    printResponse("dispatch", second, dispatchWhenReady(second));
    printResponse("dispatch_again", first, dispatchOrder(first));
    fleet.standins().fetchLedger().forEach(line -> System.out.println("ran " + summarize(line)));
    for (EntryHost host : fleet.hosts()) {
      int status = fleet.process(host).terminate(STOP_TIMEOUT);
      System.out.println("event=stopped host=" + host.name() + " status=" + status);
    }
    fleet.close();
    System.out.println("event=finished");
  }

  /** Sends probes until the hosts have run long enough to detect repeats, then the dispatch. */
  private HttpResponse<String> dispatchWhenReady(EntryHost host) {
    System.out.println("event=waiting reason=hosts_must_outlast_their_repeat_window");
    FleetHttpClient.await(
        "the first successful dispatch",
        DISPATCH_TIMEOUT,
        () -> dispatchProbe(host).statusCode() == STATUS_OK);
    return dispatchOrder(host);
  }

  private HttpResponse<String> dispatchProbe(EntryHost host) {
    return postDispatch(host, "probe-" + System.nanoTime(), "{\"probe\":true}");
  }

  private HttpResponse<String> dispatchOrder(EntryHost host) {
    return postDispatch(host, "order-4711", "{\"shop\":\"Osu\",\"crates\":12}");
  }

  private HttpResponse<String> postDispatch(EntryHost host, String key, String body) {
    return client.call(
        "POST",
        host.callerEndpoint(),
        "/dispatch",
        Map.of("Authorization", "Bearer " + SampleTickets.CORDIALS_KEY, "Idempotency-Key", key),
        body);
  }

  private void keepRunning() throws InterruptedException {
    for (EntryHost host : fleet.hosts()) {
      System.out.println(
          "entry="
              + host.callerEndpoint()
              + " key="
              + SampleTickets.CORDIALS_KEY
              + " model="
              + MODEL
              + " administration="
              + host.administrationEndpoint());
    }
    System.out.println(
        "standin=administration endpoint=" + fleet.layout().administrationEndpoint());
    fleet
        .layout()
        .engines()
        .forEach(
            (name, endpoint) -> System.out.println("engine=" + name + " endpoint=" + endpoint));
    fleet
        .layout()
        .services()
        .forEach(
            (name, endpoint) -> System.out.println("service=" + name + " endpoint=" + endpoint));
    new CountDownLatch(1).await();
  }

  private static void printResponse(String what, EntryHost host, HttpResponse<String> response) {
    System.out.println(
        "answer=" + what + " through=" + host.name() + " status=" + response.statusCode());
    response
        .body()
        .lines()
        .filter(line -> !line.isBlank())
        .forEach(
            line -> {
              System.out.println("  " + line);
            });
  }

  /** Returns the fields of a ledger entry that identify the request and its upstream. */
  private static String summarize(String line) {
    StringBuilder summary = new StringBuilder();
    for (String name : List.of("upstream", "kind", "model", "target", "outcome")) {
      int start = line.indexOf("\"" + name + "\":\"");
      if (start >= 0) {
        int value = start + name.length() + 4;
        summary.append(name).append('=');
        summary.append(line, value, line.indexOf('"', value)).append(' ');
      }
    }
    return summary.toString().strip();
  }
}
