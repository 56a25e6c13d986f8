package org.parsleyhead.entry.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts what the transport does. Thread-safe; the sums only grow. */
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

  TransportFigures figures() {
    return new TransportFigures(
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
