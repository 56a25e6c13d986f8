package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.codec.CodecException;

/** Reads constants that are encoded by their position. Stateless and thread-safe. */
final class Constants {

  private Constants() {}

  static <E> E read(List<E> constants, MessageUnpacker unpacker) throws IOException {
    int position = unpacker.unpackInt();
    if (position < 0 || position >= constants.size()) {
      throw new CodecException(CodecException.MALFORMED, "unknown constant " + position);
    }
    return constants.get(position);
  }
}
