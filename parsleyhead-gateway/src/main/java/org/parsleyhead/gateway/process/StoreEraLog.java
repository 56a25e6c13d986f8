package org.parsleyhead.gateway.process;

import java.util.List;
import org.parsleyhead.core.publication.PublicationEffect;
import org.parsleyhead.runtime.log.EventLog;

/** Logs what follows from the era of the store, with one line for each effect. Stateless. */
final class StoreEraLog {

  private StoreEraLog() {}

  /** Logs an effect; effects that do not concern the era are ignored. */
  static void log(EventLog log, PublicationEffect effect) {
    if (effect instanceof PublicationEffect.EraIncreased increased) {
      log.warning(
          "store_era_increased",
          "era",
          increased.era(),
          "former_era",
          increased.formerEra(),
          "former_revision",
          increased.formerRevision(),
          "items_kept",
          increased.formerItems(),
          "heard_from",
          increased.source());
    } else if (effect instanceof PublicationEffect.EraLower lower) {
      log.warning(
          "store_era_lower",
          "era",
          lower.era(),
          "known_era",
          lower.knownEra(),
          "heard_from",
          lower.source(),
          "outcome",
          "dropped");
    } else if (effect instanceof PublicationEffect.Outdated outdated) {
      log.info(
          "items_outdated",
          "reason",
          "not newer than before the store was restored",
          "count",
          outdated.keys().size(),
          "first_key",
          firstOf(outdated.keys()),
          "era",
          outdated.era(),
          "heard_from",
          outdated.source());
    } else if (effect instanceof PublicationEffect.EraConfirmed confirmed) {
      log.info(
          "store_era_confirmed",
          "era",
          confirmed.era(),
          "deleted",
          confirmed.deleted().size(),
          "first_deleted",
          firstOf(confirmed.deleted()),
          "replaced",
          confirmed.replaced(),
          "outdated",
          confirmed.outdated());
    }
  }

  private static String firstOf(List<String> keys) {
    return keys.isEmpty() ? "none" : keys.get(0);
  }
}
