package org.parsleyhead.runtime.log;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Passes log records to a writer thread through a bounded ring.
 *
 * <p>Thread-safe. Logging never blocks: a record that does not fit in the ring is dropped and
 * counted. Lines about single requests are dropped before lines about the state of the process. The
 * writer sleeps between batches, so that many lines share one system call. Records stay in the ring
 * until they are written, so that a flush finds all of them.
 */
final class RingLogHandler extends Handler {

  /** Maximum number of pending records; covers a few seconds of full load. */
  private static final int CAPACITY_RECORDS = 8_192;

  /** Capacity reserved for records about the state of the process. */
  private static final int RESERVED_RECORDS = 1_024;

  /** Pause between batches; short compared with the time in which an operator reads the log. */
  private static final Duration BATCH_INTERVAL = Duration.ofMillis(100);

  private final ArrayBlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(CAPACITY_RECORDS);
  private final Semaphore published = new Semaphore(0);
  private final LongAdder dropped = new LongAdder();
  private final EventLineFormatter formatter = new EventLineFormatter();
  private final PrintStream output;

  RingLogHandler(PrintStream output) {
    this.output = output;
  }

  /** Starts the writer thread. */
  void start() {
    Thread writer = new Thread(this::run, "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    boolean requestRecord = record.getLevel().intValue() < Level.INFO.intValue();
    boolean fits = !requestRecord || queue.remainingCapacity() > RESERVED_RECORDS;
    if (!fits || !queue.offer(record)) {
      dropped.increment();
    }
    published.release();
  }

  /** Writes all pending records; called when the process exits. */
  @Override
  public synchronized void flush() {
    List<LogRecord> batch = new ArrayList<>();
    queue.drainTo(batch);
    write(batch);
  }

  @Override
  public void close() {
    flush();
  }

  private void run() {
    try {
      while (true) {
        published.acquire();
        TimeUnit.NANOSECONDS.sleep(BATCH_INTERVAL.toNanos());
        published.drainPermits();
        flush();
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(List<LogRecord> batch) {
    StringBuilder text = new StringBuilder();
    batch.forEach(record -> text.append(formatter.format(record)));
    long droppedRecords = dropped.sumThenReset();
    if (droppedRecords > 0) {
      text.append(EventLine.of("event", "log_lines_dropped", "lines", droppedRecords))
          .append(System.lineSeparator());
    }
    output.print(text);
    output.flush();
  }
}
