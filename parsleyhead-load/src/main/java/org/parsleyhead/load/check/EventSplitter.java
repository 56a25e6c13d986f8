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

  private final ByteArrayOutputStream rest = new ByteArrayOutputStream();

  /** Takes further bytes and returns the data of the lines that they complete. */
  public List<String> accept(byte[] bytes) {
    List<String> events = new ArrayList<>();
    int start = 0;
    for (int index = 0; index < bytes.length; index++) {
      if (bytes[index] == '\n') {
        rest.write(bytes, start, index - start);
        String line = rest.toString(StandardCharsets.UTF_8);
        rest.reset();
        start = index + 1;
        if (line.startsWith(DATA)) {
          events.add(line.substring(DATA.length()).strip());
        }
      }
    }
    rest.write(bytes, start, bytes.length - start);
    return events;
  }
}
