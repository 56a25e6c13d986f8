package org.parsleyhead.operator;

import java.util.List;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.operator.fleet.FleetStatus;
import org.parsleyhead.operator.fleet.HostQuery;
import org.parsleyhead.operator.fleet.HostStatusResult;
import org.parsleyhead.runtime.administration.AuditJson;
import org.parsleyhead.runtime.audit.AuditEntry;
import org.parsleyhead.runtime.audit.AuditExcerpt;
import org.parsleyhead.runtime.command.Command;
import org.parsleyhead.runtime.command.CommandDescription;
import org.parsleyhead.runtime.command.ExitStatus;
import org.parsleyhead.runtime.command.OptionDescription;
import org.parsleyhead.runtime.log.EventLine;

/** The commands that query running hosts. Immutable; as thread-safe as the query. */
final class FleetCommands {

  private static final String HOST = "host";
  private static final String SINCE = "since";

  private final HostQuery query;

  FleetCommands(HostQuery query) {
    this.query = query;
  }

  List<Command> all() {
    return List.of(status(), audit());
  }

  private Command status() {
    return new Command(
        new CommandDescription(
            "status",
            List.of(),
            List.of(
                OptionDescription.repeated(
                    HOST, "ENDPOINT", "administration endpoints of the hosts")),
            "Prints the ticket applied on each host; fails if the hosts differ."),
        (arguments, console) -> {
          List<Endpoint> endpoints = arguments.values(HOST, Endpoint::parse);
          FleetStatus status =
              new FleetStatus(
                  endpoints.stream()
                      .map(endpoint -> HostStatusResult.fetch(query, endpoint))
                      .toList());
          status.lines().forEach(console.output()::println);
          return status.isUniform() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
        });
  }

  private Command audit() {
    return new Command(
        new CommandDescription(
            "audit",
            List.of(),
            List.of(
                OptionDescription.required(HOST, "ENDPOINT", "administration endpoint of the host"),
                OptionDescription.optional(SINCE, "N", "sequence number of the last known entry")),
            "Prints the audit trail of a host, oldest entry first."),
        (arguments, console) -> {
          Endpoint endpoint = arguments.values(HOST, Endpoint::parse).get(0);
          long since = arguments.number(SINCE).orElse(0);
          AuditExcerpt excerpt = AuditJson.decode(query.get(endpoint, "/audit?since=" + since));
          excerpt.entries().stream().map(FleetCommands::line).forEach(console.output()::println);
          if (excerpt.firstSequence() > since + 1) {
            String notice = "the host no longer keeps entries before " + excerpt.firstSequence();
            console.errors().println(notice);
          }
          return ExitStatus.SUCCESS;
        });
  }

  private static String line(AuditEntry entry) {
    return EventLine.of(
        "sequence",
        entry.sequence(),
        "ticket",
        entry.ticket(),
        "item",
        entry.change().item(),
        "action",
        entry.change().action().text(),
        "heard_from",
        entry.source(),
        "in_force_since",
        entry.appliedAt());
  }
}
