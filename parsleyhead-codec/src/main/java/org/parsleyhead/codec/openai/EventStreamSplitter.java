package org.parsleyhead.codec.openai;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.codec.CodecException;

/**
 * Splits the bytes of a server-sent event stream into whole events.
 *
 * <p>Confined to one thread. An event is given out once its empty line was read; what follows the
 * last empty line is kept. Each event is given out with the empty line that ends it.
 */
public final class EventStreamSplitter {

  /** The longest event, in bytes. */
  public static final int MAXIMUM_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private boolean lineEmpty = true;

  /**
   * Takes further bytes and returns the events that they complete.
   *
   * @throws CodecException if an event is longer than the bound
   */
  public List<byte[]> add(byte[] bytes) {
    List<byte[]> events = new ArrayList<>();
    for (byte next : bytes) {
      pending.write(next);
      if (next == '\n') {
        if (lineEmpty && pending.size() > 0) {
          events.add(pending.toByteArray());
          pending.reset();
        }
        lineEmpty = true;
      } else if (next != '\r') {
        lineEmpty = false;
      }
    }
    if (pending.size() > MAXIMUM_EVENT_BYTES) {
      throw new CodecException(CodecException.TOO_LARGE, "the event is too long");
    }
    return events;
  }
}
