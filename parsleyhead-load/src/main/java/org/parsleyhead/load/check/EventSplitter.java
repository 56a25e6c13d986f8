package org.parsleyhead.load.check;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a stream of server-sent events into the data of its events.
 *
 * <p>Confined to one thread at a time.
 */
public final class EventSplitter {

  private static final String DATA = "data:";

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /** Takes further bytes and returns the data of the lines that they complete. */
  public List<String> accept(byte[] bytes) {
    List<String> events = new ArrayList<>();
    for (byte next : bytes) {
      if (next == '\n') {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.startsWith(DATA)) {
          events.add(text.substring(DATA.length()).strip());
        }
      } else {
        line.write(next);
      }
    }
    return events;
  }
}
