package org.parsleyhead.core.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The processes of one host that this host has heard from, by their incarnation numbers.
 *
 * <p>Immutable and thread-safe. The numbers are random, so the order in which processes were first
 * heard tells which one replaced the other: a message of a replaced process is late.
 *
 * @param current the process that was first heard last; -1 if none was
 * @param replaced the processes before it, the latest last
 */
record Incarnations(long current, List<Long> replaced) {

  static final long UNKNOWN = -1;

  static final Incarnations NONE = new Incarnations(UNKNOWN, List.of());

  /** Maximum number of replaced processes that are recognized. */
  private static final int MAXIMUM_REPLACED = 8;

  /** Copies the list. */
  Incarnations {
    replaced = List.copyOf(replaced);
  }

  boolean heard() {
    return current != UNKNOWN;
  }

  boolean isReplaced(long incarnation) {
    return replaced.contains(incarnation);
  }

  /** Returns the processes after a message of one that has not been replaced. */
  Incarnations with(long incarnation) {
    if (incarnation == current) {
      return this;
    }
    List<Long> former = new ArrayList<>(replaced);
    if (heard()) {
      former.add(current);
    }
    return new Incarnations(
        incarnation, former.subList(Math.max(0, former.size() - MAXIMUM_REPLACED), former.size()));
  }
}
