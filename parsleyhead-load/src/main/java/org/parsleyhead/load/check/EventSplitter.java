package org.parsleyhead.load.check;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Extracts the data lines from the bytes of a stream of server-sent events.
 *
 * <p>Confined to one thread at a time.
 */
public final class EventSplitter {

  private static final String DATA_PREFIX = "data:";

  private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

  /** Adds received bytes and returns the data of the lines that they complete. */
  public List<String> accept(byte[] bytes) {
    List<String> events = new ArrayList<>();
    int start = 0;
    for (int index = 0; index < bytes.length; index++) {
      if (bytes[index] == '\n') {
        partialLine.write(bytes, start, index - start);
        String line = partialLine.toString(StandardCharsets.UTF_8);
        partialLine.reset();
        start = index + 1;
        if (line.startsWith(DATA_PREFIX)) {
          events.add(line.substring(DATA_PREFIX.length()).strip());
        }
      }
    }
    partialLine.write(bytes, start, bytes.length - start);
    return events;
  }
}
