package org.parsleyhead.core.ticket;

/** A declared item: the whole state of one thing that operators create. Immutable. */
public sealed interface Item
    permits ClientAccountItem, KeyItem, AdapterItem, RouteItem, UpstreamItem {

  /** Returns the identity of this item. */
  ItemKey key();
}
