package org.parsleyhead.entry.configuration;

import org.parsleyhead.core.membership.HostList;

/** What the watch of the host list is told. Implementations are immutable and thread-safe. */
sealed interface HostListEvent {

  /**
   * Time has passed.
   *
   * @param randomNumber a random number, for delays
   */
  record Tick(long randomNumber) implements HostListEvent {}

  /**
   * The service gave a list.
   *
   * @param list the list
   */
  record ListRead(HostList list) implements HostListEvent {}

  /** The service said that nothing has changed. */
  record Unchanged() implements HostListEvent {}

  /** The service did not answer, or not in a form that can be understood. */
  record Failed() implements HostListEvent {}
}
