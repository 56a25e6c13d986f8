package org.parsleyhead.entry.peer;

import java.util.concurrent.atomic.LongAdder;

/** The counters behind {@link TransportStatistics}. Thread-safe; all values are monotonic. */
final class TransportCounters {

  final LongAdder bytesIn = new LongAdder();
  final LongAdder bytesOut = new LongAdder();
  final LongAdder messagesIn = new LongAdder();
  final LongAdder messagesOut = new LongAdder();
  final LongAdder dropped = new LongAdder();
  final LongAdder malformed = new LongAdder();
  final LongAdder refused = new LongAdder();
  final LongAdder connections = new LongAdder();
  final LongAdder replaced = new LongAdder();

  TransportStatistics statistics() {
    return new TransportStatistics(
        bytesIn.sum(),
        bytesOut.sum(),
        messagesIn.sum(),
        messagesOut.sum(),
        dropped.sum(),
        malformed.sum(),
        refused.sum(),
        connections.sum(),
        replaced.sum());
  }
}
