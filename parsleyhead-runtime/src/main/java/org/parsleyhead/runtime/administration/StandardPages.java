package org.parsleyhead.runtime.administration;

import java.util.List;
import java.util.function.Supplier;
import org.parsleyhead.runtime.audit.AuditExcerpt;
import org.parsleyhead.runtime.audit.AuditTrail;

/** The administration pages shared by several processes. Stateless and thread-safe. */
public final class StandardPages {

  private static final long BEFORE_FIRST_ENTRY = 0;

  private StandardPages() {}

  /** Returns the pages for metrics, liveness and readiness. */
  public static List<AdministrationPage> ofProcess(
      Supplier<String> metrics, Supplier<Readiness> readiness) {
    return List.of(metrics(metrics), live(), ready(readiness));
  }

  /** Returns {@code /metrics}, in the Prometheus text format. */
  public static AdministrationPage metrics(Supplier<String> rendered) {
    return new AdministrationPage(
        "/metrics", request -> AdministrationResponse.prometheus(rendered.get()));
  }

  /** Returns {@code /live}, which succeeds as long as the process runs. */
  public static AdministrationPage live() {
    return new AdministrationPage(
        "/live", request -> AdministrationResponse.line(AdministrationResponse.OK, "live"));
  }

  /** Returns {@code /ready}, with status 200 or 503 and the reason. */
  public static AdministrationPage ready(Supplier<Readiness> readiness) {
    return new AdministrationPage(
        "/ready",
        request -> {
          Readiness now = readiness.get();
          int status = now.ready() ? AdministrationResponse.OK : AdministrationResponse.UNAVAILABLE;
          return AdministrationResponse.line(status, now.reason());
        });
  }

  /** Returns {@code /tickets}, which shows the tickets applied on this host. */
  public static AdministrationPage tickets(Supplier<TicketStatus> status) {
    return new AdministrationPage(
        "/tickets", request -> AdministrationResponse.json(TicketStatusJson.encode(status.get())));
  }

  /** Returns {@code /audit?since=N}, with the entries that follow a sequence number. */
  public static AdministrationPage audit(Supplier<AuditTrail> trail) {
    return new AdministrationPage(
        "/audit",
        request ->
            AdministrationResponse.json(
                AuditJson.encode(
                    AuditExcerpt.of(
                        trail.get(), request.number("since").orElse(BEFORE_FIRST_ENTRY)))));
  }
}
