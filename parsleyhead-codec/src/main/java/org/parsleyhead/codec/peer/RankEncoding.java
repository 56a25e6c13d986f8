package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.time.Duration;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.core.overload.RequestRank;

/** Encodes the ranks of requests, with times in milliseconds. Stateless and thread-safe. */
final class RankEncoding {

  /** Bounds the times of a rank, so that no received value makes their arithmetic overflow. */
  private static final long MAXIMUM_MILLISECONDS = Duration.ofHours(1).toMillis();

  private RankEncoding() {}

  static void write(RequestRank rank, MessagePacker packer) throws IOException {
    packer
        .packInt(rank.priority())
        .packLong(rank.waited().toMillis())
        .packLong(rank.target().toMillis())
        .packLong(rank.limit().toMillis())
        .packLong(rank.work().toMillis());
  }

  static RequestRank read(MessageUnpacker unpacker) throws IOException {
    return new RequestRank(
        Math.max(0, unpacker.unpackInt()),
        readDuration(unpacker),
        readDuration(unpacker),
        readDuration(unpacker),
        readDuration(unpacker));
  }

  private static Duration readDuration(MessageUnpacker unpacker) throws IOException {
    return Duration.ofMillis(Math.max(0, Math.min(MAXIMUM_MILLISECONDS, unpacker.unpackLong())));
  }
}
