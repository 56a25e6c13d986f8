package org.parsleyhead.entry.configuration;

import org.parsleyhead.core.membership.HostList;

/** What the watch of the host list asks for. Implementations are immutable and thread-safe. */
sealed interface HostListEffect {

  /**
   * Waits for a newer list.
   *
   * @param version the version that is known, zero for none
   */
  record Watch(long version) implements HostListEffect {}

  /**
   * A newer list is known.
   *
   * @param list the list
   */
  record ListChanged(HostList list) implements HostListEffect {}
}
