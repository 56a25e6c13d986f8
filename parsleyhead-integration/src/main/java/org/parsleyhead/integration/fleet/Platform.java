package org.parsleyhead.integration.fleet;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.parsleyhead.codec.json.TicketCodec;
import org.parsleyhead.core.ticket.Ticket;

/** Publishes through the stand-ins' administration port and reads their ledger. Thread-safe. */
public final class Platform {

  private static final int NO_CONTENT = 204;

  private final HttpCalls calls = new HttpCalls();
  private final String administration;

  /** Creates a publisher. */
  public Platform(String administration) {
    this.administration = administration;
  }

  /** Publishes a ticket: its document first, then the number of the last ticket. */
  public void publish(Ticket ticket) {
    put("/admin/values/tickets/" + ticket.number(), text(TicketCodec.encodeWhole(ticket)));
    put("/admin/values/tickets/latest", text(TicketCodec.encodeLatest(ticket.number())));
  }

  /** Publishes a value. */
  public void publish(String path, String value) {
    put("/admin/values/" + path, value);
  }

  /** Publishes a version of the host list. */
  public void publishHosts(
      long version, Collection<EntryHost> hosts, Collection<String> leavingUpstreams) {
    String listed = hosts.stream().map(host -> host.listed(false)).collect(Collectors.joining(","));
    String leaving =
        leavingUpstreams.stream()
            .map(name -> "{\"name\":\"" + name + "\",\"state\":\"leaving\"}")
            .collect(Collectors.joining(","));
    put(
        "/admin/hosts",
        "{\"version\":" + version + ",\"hosts\":[" + listed + "],\"upstreams\":[" + leaving + "]}");
  }

  /** Changes how a stand-in answers. */
  public void mode(String standin, String mode) {
    put("/admin/modes/" + standin, "{\"mode\":\"" + mode + "\"}");
  }

  /** Makes a stand-in slow. */
  public void slow(String standin, int delayMilliseconds) {
    put(
        "/admin/modes/" + standin,
        "{\"mode\":\"slow\",\"delay_milliseconds\":" + delayMilliseconds + "}");
  }

  /** Puts a fault in force on a proxy. */
  public void fault(String proxy, String fault) {
    put("/admin/proxies/" + proxy, fault);
  }

  /** Restarts an engine: its adapters are gone afterwards. */
  public void restart(String engine) {
    calls.call("POST", administration, "/admin/restarts/" + engine, Map.of(), "");
  }

  /** Returns the lines of the ledger. */
  public List<String> ledger() {
    return calls.lines(administration, "/admin/ledger");
  }

  /** Returns the calls that the platform counted. */
  public String callCounts() {
    return calls.call("GET", administration, "/admin/calls", Map.of(), "").body();
  }

  private void put(String path, String body) {
    HttpResponse<String> answer = calls.call("PUT", administration, path, Map.of(), body);
    if (answer.statusCode() != NO_CONTENT) {
      throw new FleetException(path + " answered " + answer.statusCode() + ": " + answer.body());
    }
  }

  private static String text(byte[] document) {
    return new String(document, StandardCharsets.UTF_8);
  }
}
