package org.parsleyhead.gateway.api;

import org.parsleyhead.core.publication.PublishedItem;

/** Decodes published items. Implementations are stateless and thread-safe. */
@FunctionalInterface
public interface PublicationDecoder {

  /** Decodes an item; never throws, since other writers may publish arbitrary values. */
  DecodedItem decode(PublishedItem item);
}
