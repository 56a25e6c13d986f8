package org.parsleyhead.integration.fleet;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.parsleyhead.codec.json.TicketCodec;
import org.parsleyhead.core.ticket.Ticket;

/**
 * Client for the administration endpoint of the stand-ins: publishes tickets and host lists, sets
 * modes and faults and reads the ledger. Thread-safe.
 */
public final class StandinClient {

  private static final int NO_CONTENT = 204;

  private final FleetHttpClient client = new FleetHttpClient();
  private final String administrationEndpoint;

  /** Creates a client for an administration endpoint. */
  public StandinClient(String administrationEndpoint) {
    this.administrationEndpoint = administrationEndpoint;
  }

  /** Publishes a ticket: its document first, then its number as that of the latest ticket. */
  public void publish(Ticket ticket) {
    put("/admin/values/tickets/" + ticket.number(), text(TicketCodec.encodeWhole(ticket)));
    put("/admin/values/tickets/latest", text(TicketCodec.encodeLatest(ticket.number())));
  }

  /** Publishes a value of the configuration service. */
  public void publish(String path, String value) {
    put("/admin/values/" + path, value);
  }

  /** Publishes a version of the host list, with all hosts live and some upstreams leaving. */
  public void publishHosts(
      long version, Collection<EntryHost> hosts, Collection<String> leavingUpstreams) {
    String listed =
        hosts.stream().map(host -> host.hostListEntry(false)).collect(Collectors.joining(","));
    String leaving =
        leavingUpstreams.stream()
            .map(name -> "{\"name\":\"" + name + "\",\"state\":\"leaving\"}")
            .collect(Collectors.joining(","));
    put(
        "/admin/hosts",
        "{\"version\":" + version + ",\"hosts\":[" + listed + "],\"upstreams\":[" + leaving + "]}");
  }

  /** Sets the mode of a stand-in, such as {@code up} or {@code failing}. */
  public void setMode(String standin, String mode) {
    put("/admin/modes/" + standin, "{\"mode\":\"" + mode + "\"}");
  }

  /** Sets the mode of a stand-in with a delay, such as {@code slow}. */
  public void setMode(String standin, String mode, int delayMilliseconds) {
    put(
        "/admin/modes/" + standin,
        "{\"mode\":\"" + mode + "\",\"delay_milliseconds\":" + delayMilliseconds + "}");
  }

  /** Sets the fault of a proxy, in JSON; {@code {}} clears it. */
  public void setFault(String proxy, String fault) {
    put("/admin/proxies/" + proxy, fault);
  }

  /** Restarts an engine, which loses its loaded adapters. */
  public void restartEngine(String engine) {
    client.call("POST", administrationEndpoint, "/admin/restarts/" + engine, Map.of(), "");
  }

  /** Returns the entries of the ledger, each in JSON. */
  public List<String> fetchLedger() {
    return client.lines(administrationEndpoint, "/admin/ledger");
  }

  /** Returns the call counts of the stand-ins, in JSON. */
  public String fetchCallCounts() {
    return client.call("GET", administrationEndpoint, "/admin/calls", Map.of(), "").body();
  }

  private void put(String path, String body) {
    HttpResponse<String> response =
        client.call("PUT", administrationEndpoint, path, Map.of(), body);
    if (response.statusCode() != NO_CONTENT) {
      throw new FleetException(
          path + " answered " + response.statusCode() + ": " + response.body());
    }
  }

  private static String text(byte[] document) {
    return new String(document, StandardCharsets.UTF_8);
  }
}
