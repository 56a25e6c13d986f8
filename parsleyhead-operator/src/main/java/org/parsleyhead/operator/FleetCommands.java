package org.parsleyhead.operator;

import java.util.List;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.operator.fleet.FleetStatus;
import org.parsleyhead.operator.fleet.HostAnswer;
import org.parsleyhead.operator.fleet.HostQuery;
import org.parsleyhead.runtime.administration.AuditJson;
import org.parsleyhead.runtime.audit.AuditEntry;
import org.parsleyhead.runtime.audit.AuditExcerpt;
import org.parsleyhead.runtime.command.Command;
import org.parsleyhead.runtime.command.CommandDescription;
import org.parsleyhead.runtime.command.ExitStatus;
import org.parsleyhead.runtime.command.OptionDescription;
import org.parsleyhead.runtime.log.EventLine;

/** The commands that ask running hosts. Immutable; as thread-safe as the query. */
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
            List.of(OptionDescription.repeated(HOST, "ENDPOINT", "operators' ports of the hosts")),
            "Prints which ticket is in force on each host; fails if they differ."),
        (arguments, console) -> {
          List<Endpoint> endpoints = arguments.values(HOST, Endpoint::parse);
          FleetStatus status =
              new FleetStatus(
                  endpoints.stream().map(endpoint -> HostAnswer.ask(query, endpoint)).toList());
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
                OptionDescription.required(HOST, "ENDPOINT", "operators' port of the host"),
                OptionDescription.optional(SINCE, "N", "the last entry that is already known")),
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
        entry.heardFrom(),
        "in_force_since",
        entry.inForceSince());
  }
}
