package org.parsleyhead.entry.configuration;

import org.parsleyhead.core.membership.HostList;

/** The output of {@link HostListWatch}. Implementations are immutable and thread-safe. */
sealed interface HostListEffect {

  /**
   * Calls the watch, which returns once there is a newer list.
   *
   * @param version the latest known version, zero for none
   */
  record Watch(long version) implements HostListEffect {}

  /**
   * Passes on a newer list.
   *
   * @param list the list
   */
  record ListChanged(HostList list) implements HostListEffect {}
}
