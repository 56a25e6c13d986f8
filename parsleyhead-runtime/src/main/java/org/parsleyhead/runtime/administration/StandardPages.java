package org.parsleyhead.runtime.administration;

import java.util.List;
import java.util.function.Supplier;
import org.parsleyhead.runtime.audit.AuditExcerpt;
import org.parsleyhead.runtime.audit.AuditTrail;

/** The pages that processes offer to operators. Stateless and thread-safe. */
public final class StandardPages {

  private static final long FROM_THE_START = 0;

  private StandardPages() {}

  /** Returns the pages of a process with metrics and checks. */
  public static List<AdministrationPage> ofProcess(
      Supplier<String> metrics, Supplier<Readiness> readiness) {
    return List.of(metrics(metrics), live(), ready(readiness));
  }

  /** Returns {@code /metrics}, in the Prometheus text form. */
  public static AdministrationPage metrics(Supplier<String> rendered) {
    return new AdministrationPage(
        "/metrics", request -> AdministrationResponse.prometheus(rendered.get()));
  }

  /** Returns {@code /live}, which answers as long as the process runs. */
  public static AdministrationPage live() {
    return new AdministrationPage(
        "/live", request -> AdministrationResponse.line(AdministrationResponse.OK, "live"));
  }

  /** Returns {@code /ready}: 200 or 503, with the reason. */
  public static AdministrationPage ready(Supplier<Readiness> readiness) {
    return new AdministrationPage(
        "/ready",
        request -> {
          Readiness now = readiness.get();
          int status = now.ready() ? AdministrationResponse.OK : AdministrationResponse.UNAVAILABLE;
          return AdministrationResponse.line(status, now.reason());
        });
  }

  /** Returns {@code /tickets}: which tickets are in force here. */
  public static AdministrationPage tickets(Supplier<TicketStatus> status) {
    return new AdministrationPage(
        "/tickets", request -> AdministrationResponse.json(TicketStatusJson.encode(status.get())));
  }

  /** Returns {@code /audit?since=N}: the entries behind a sequence number. */
  public static AdministrationPage audit(Supplier<AuditTrail> trail) {
    return new AdministrationPage(
        "/audit",
        request ->
            AdministrationResponse.json(
                AuditJson.encode(
                    AuditExcerpt.of(trail.get(), request.number("since").orElse(FROM_THE_START)))));
  }
}
