package org.parsleyhead.gateway.process;

import java.util.HashMap;
import java.util.Map;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Writes a line when an announcement changes what is believed of an instance.
 *
 * <p>Confined to the publication duty. Instances announce themselves about once a second; most
 * announcements change nothing that a decision rests on but their adapters, which the owner
 * reports.
 */
final class AnnouncementLog {

  private final EventLog log;
  private final Map<String, Instance> lastAnnouncements = new HashMap<>();

  AnnouncementLog(EventLog log) {
    this.log = log;
  }

  void announced(Instance instance, long revision, String heardFrom) {
    Instance former = lastAnnouncements.put(instance.identifier(), instance);
    boolean same =
        former != null
            && former.sameRun(instance)
            && former.draining() == instance.draining()
            && former.models().equals(instance.models());
    if (!same) {
      log.info(
          "instance",
          "instance",
          instance.identifier(),
          "service",
          instance.service(),
          "endpoint",
          instance.endpoint(),
          "started_at",
          instance.startedAtMillis(),
          "draining",
          instance.draining(),
          "models",
          instance.models().size(),
          "revision",
          revision,
          "heard_from",
          heardFrom);
    }
  }

  void removed(String identifier) {
    lastAnnouncements.remove(identifier);
  }
}
