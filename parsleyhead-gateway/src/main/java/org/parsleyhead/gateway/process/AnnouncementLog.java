package org.parsleyhead.gateway.process;

import java.util.HashMap;
import java.util.Map;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Logs announcements that change the known state of an instance.
 *
 * <p>Confined to the publication duty. Instances announce themselves about once per second; most
 * announcements change nothing that decisions depend on except the adapters, which the owner of the
 * instance reports.
 */
final class AnnouncementLog {

  private final EventLog log;
  private final Map<String, Instance> lastAnnouncements = new HashMap<>();

  AnnouncementLog(EventLog log) {
    this.log = log;
  }

  void announced(Instance instance, long revision, String source) {
    Instance previous = lastAnnouncements.put(instance.identifier(), instance);
    boolean unchanged =
        previous != null
            && previous.sameRun(instance)
            && previous.draining() == instance.draining()
            && previous.coldFor().isZero() == instance.coldFor().isZero()
            && previous.models().equals(instance.models());
    if (!unchanged) {
      log.info(
          "instance",
          "instance",
          instance.identifier(),
          "service",
          instance.service(),
          "endpoint",
          instance.endpoint(),
          "started_at",
          instance.startedAtMilliseconds(),
          "draining",
          instance.draining(),
          "cold_ms",
          instance.coldFor().toMillis(),
          "models",
          instance.models().size(),
          "revision",
          revision,
          "heard_from",
          source);
    }
  }

  /** Returns the number of known instances in a failure domain. */
  long instancesIn(FailureDomainName domain) {
    return lastAnnouncements.values().stream()
        .filter(instance -> instance.failureDomain().equals(domain))
        .count();
  }

  void removed(String identifier) {
    lastAnnouncements.remove(identifier);
  }
}
