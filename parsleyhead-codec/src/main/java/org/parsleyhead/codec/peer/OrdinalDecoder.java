package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.codec.CodecException;

/** Decodes enum constants that are encoded as their ordinal. Stateless and thread-safe. */
final class OrdinalDecoder {

  private OrdinalDecoder() {}

  static <E> E read(List<E> constants, MessageUnpacker unpacker) throws IOException {
    int ordinal = unpacker.unpackInt();
    if (ordinal < 0 || ordinal >= constants.size()) {
      throw new CodecException(CodecException.MALFORMED, "unknown constant " + ordinal);
    }
    return constants.get(ordinal);
  }
}
