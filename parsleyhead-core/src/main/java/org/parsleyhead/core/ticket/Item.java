package org.parsleyhead.core.ticket;

/**
 * A declared item: the complete state of one object that operators declare. Implementations are
 * immutable and thread-safe.
 */
public sealed interface Item
    permits ClientAccountItem, KeyItem, AdapterItem, RouteItem, UpstreamItem {

  /** Returns the key that identifies this item. */
  ItemKey key();
}
