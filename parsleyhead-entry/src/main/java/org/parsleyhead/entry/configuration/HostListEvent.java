package org.parsleyhead.entry.configuration;

import org.parsleyhead.core.membership.HostList;

/** The input of {@link HostListWatch}. Implementations are immutable and thread-safe. */
sealed interface HostListEvent {

  /**
   * A tick interval has elapsed.
   *
   * @param randomNumber a random number from which retry delays are derived
   */
  record Tick(long randomNumber) implements HostListEvent {}

  /**
   * The service returned a list.
   *
   * @param list the list
   */
  record ListRead(HostList list) implements HostListEvent {}

  /** The service reported that the list has not changed. */
  record Unchanged() implements HostListEvent {}

  /** The call failed, or its response was not a valid list. */
  record Failed() implements HostListEvent {}
}
