package org.parsleyhead.entry.process;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.engine.EngineEvent;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.core.quota.Limits;
import org.parsleyhead.core.quota.QuotaEvent;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.core.routing.RoutingEvent;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.core.ticket.AppliedChange;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.ConfigurationEffect;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.parsleyhead.runtime.audit.AuditChange;
import org.parsleyhead.runtime.audit.AuditEvent;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Distributes catalogues to the duties that use them and records changes in the audit trail.
 *
 * <p>Upstreams that the host list marks as leaving are marked as leaving in every distributed
 * catalogue.
 *
 * <p>Thread-safe.
 */
final class CatalogueDistribution {

  private final Rings rings;
  private final Consumer<AuditEvent> audit;
  private final EventLog log;
  private Catalogue declared = Catalogue.empty();
  private HostList hostList = HostList.EMPTY;

  CatalogueDistribution(Rings rings, Consumer<AuditEvent> audit, EventLog log) {
    this.rings = Preconditions.requireNonNull(rings, "rings");
    this.audit = Preconditions.requireNonNull(audit, "audit");
    this.log = Preconditions.requireNonNull(log, "log");
  }

  /** Applies a newer host list; distributes the catalogue again if leaving upstreams changed. */
  synchronized void hostListChanged(HostList newer) {
    boolean leavingChanged = !newer.leavingUpstreams().equals(hostList.leavingUpstreams());
    hostList = newer;
    if (leavingChanged) {
      distribute(Set.of());
    }
  }

  /** Applies a new catalogue: updates limits, distributes it and records its changes. */
  synchronized void catalogueChanged(ConfigurationEffect.CatalogueChanged changed) {
    declared = changed.catalogue();
    changed.clientAccountChanges().forEach(this::changeLimits);
    distribute(Set.copyOf(changed.revokedKeyDigests()));
    auditEvents(changed).forEach(audit);
    log.info(
        "catalogue_in_force",
        "merged_through",
        changed.mergedThrough(),
        "changes",
        changed.changes().size(),
        "heard_from",
        changed.source());
  }

  private void distribute(Set<String> revokedKeyDigests) {
    Catalogue effective = declared.withLeaving(hostList.leavingUpstreams());
    List<UpstreamItem> upstreams = effective.upstreams();
    boolean accepted =
        rings.request().offer(new RequestEvent.CatalogueChanged(effective, revokedKeyDigests))
            & rings.scheduling().offer(new SchedulingEvent.UpstreamsChanged(upstreams))
            & rings.routing().offer(new RoutingEvent.UpstreamsChanged(upstreams))
            & rings.ownership().offer(new EngineEvent.UpstreamsChanged(upstreams));
    if (!accepted) {
      log.warning("catalogue_not_distributed", "highest", effective.highestTicketNumber());
    }
  }

  private void changeLimits(AppliedChange change) {
    ClientAccountName account = new ClientAccountName(change.key().name());
    QuotaEvent event =
        change
            .after()
            .map(ClientAccountItem.class::cast)
            .<QuotaEvent>map(
                item ->
                    new QuotaEvent.LimitsDeclared(
                        account,
                        new Limits(change.number(), item.tokensPerSecond(), item.burstTokens())))
            .orElseGet(() -> new QuotaEvent.AccountDeleted(account, change.number()));
    if (!rings.quota().offer(event)) {
      log.warning("limits_not_distributed", "client_account", account);
    }
  }

  private static List<AuditEvent> auditEvents(ConfigurationEffect.CatalogueChanged changed) {
    Map<TicketNumber, List<AuditChange>> byTicket = new LinkedHashMap<>();
    for (AppliedChange change : changed.changes()) {
      byTicket
          .computeIfAbsent(change.number(), number -> new ArrayList<>())
          .add(new AuditChange(change.key(), actionOf(change)));
    }
    Instant now = Instant.now();
    return byTicket.entrySet().stream()
        .map(
            entry ->
                new AuditEvent(entry.getKey(), changed.source().toString(), now, entry.getValue()))
        .toList();
  }

  private static AuditChange.Action actionOf(AppliedChange change) {
    if (change.after().isEmpty()) {
      return AuditChange.Action.DELETED;
    }
    return change.before().isPresent() ? AuditChange.Action.REPLACED : AuditChange.Action.CREATED;
  }
}
