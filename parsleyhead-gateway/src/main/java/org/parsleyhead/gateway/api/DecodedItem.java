package org.parsleyhead.gateway.api;

import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.ServiceCatalogue;

/** A decoded item of a publication. Implementations are immutable and thread-safe. */
public sealed interface DecodedItem {

  /** A service catalogue. */
  record Catalogue(ServiceCatalogue catalogue) implements DecodedItem {}

  /** The announcement of an instance. */
  record Announcement(Instance instance) implements DecodedItem {}

  /** The removal of the announcement of an instance. */
  record Removal(String identifier) implements DecodedItem {}

  /** A version of an adapter that the operators declared. */
  record AdapterVersion(AdapterKey adapter, long version) implements DecodedItem {}

  /**
   * The evacuation of a failure domain was requested or revoked.
   *
   * @param domain the failure domain
   * @param evacuated whether it is evacuated
   * @param readable whether the value of the item has the documented form; an evacuation applies
   *     whatever its value is
   */
  record Evacuation(FailureDomainName domain, boolean evacuated, boolean readable)
      implements DecodedItem {}

  /** An item that this system does not use, with the reason. */
  record Ignored(String key, String reason) implements DecodedItem {}
}
