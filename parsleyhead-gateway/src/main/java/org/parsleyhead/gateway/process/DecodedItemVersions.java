package org.parsleyhead.gateway.process;

import java.util.Optional;
import org.parsleyhead.core.publication.ItemVersion;
import org.parsleyhead.core.publication.ItemVersions;
import org.parsleyhead.core.publication.PublishedItem;
import org.parsleyhead.gateway.api.DecodedItem;
import org.parsleyhead.gateway.api.PublicationDecoder;

/**
 * Reads the versions of catalogues, adapters and announcements from decoded items. Other items have
 * none.
 *
 * <p>Immutable and thread-safe, provided that the decoder is.
 */
final class DecodedItemVersions implements ItemVersions {

  private final PublicationDecoder decoder;

  DecodedItemVersions(PublicationDecoder decoder) {
    this.decoder = decoder;
  }

  @Override
  public Optional<ItemVersion> of(PublishedItem item) {
    DecodedItem decoded = decoder.decode(item);
    if (decoded instanceof DecodedItem.Catalogue catalogue) {
      return Optional.of(new ItemVersion(catalogue.catalogue().version(), 0));
    }
    if (decoded instanceof DecodedItem.AdapterVersion version) {
      return Optional.of(new ItemVersion(version.version(), 0));
    }
    return decoded instanceof DecodedItem.Announcement announcement
        ? Optional.of(
            new ItemVersion(
                announcement.instance().startedAtMilliseconds(),
                announcement.instance().announcementNumber()))
        : Optional.empty();
  }
}
