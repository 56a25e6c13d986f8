package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.core.publication.FormerCopy;
import org.parsleyhead.core.publication.FormerItem;
import org.parsleyhead.core.publication.ItemVersion;
import org.parsleyhead.core.publication.PublishedItem;

/** The encoding of what remains in force of former eras of the store. Stateless and thread-safe. */
final class FormerCopyEncoding {

  private FormerCopyEncoding() {}

  static void write(FormerCopy copy, MessagePacker packer) throws IOException {
    packer.packLong(copy.confirmationLeftMilliseconds());
    packer.packArrayHeader(copy.items().size());
    for (FormerItem former : copy.items()) {
      PublishedItem item = former.item();
      packer.packString(item.key()).packLong(item.era()).packLong(item.revision());
      packer.packBoolean(item.value().isPresent());
      if (item.value().isPresent()) {
        packer.packString(item.value().get());
      } else {
        ItemVersion version = former.removedVersion().orElseThrow();
        packer.packLong(version.major()).packLong(version.minor());
      }
    }
  }

  static FormerCopy read(MessageUnpacker unpacker) throws IOException {
    final long confirmationLeft = unpacker.unpackLong();
    int size = unpacker.unpackArrayHeader();
    List<FormerItem> items = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      String key = unpacker.unpackString();
      long era = unpacker.unpackLong();
      long revision = unpacker.unpackLong();
      if (unpacker.unpackBoolean()) {
        Optional<String> value = Optional.of(unpacker.unpackString());
        items.add(new FormerItem(new PublishedItem(key, era, revision, value), Optional.empty()));
      } else {
        ItemVersion version = new ItemVersion(unpacker.unpackLong(), unpacker.unpackLong());
        items.add(
            new FormerItem(
                new PublishedItem(key, era, revision, Optional.empty()), Optional.of(version)));
      }
    }
    return new FormerCopy(items, confirmationLeft);
  }
}
