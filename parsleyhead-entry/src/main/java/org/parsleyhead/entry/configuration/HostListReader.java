package org.parsleyhead.entry.configuration;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.codec.json.HostListCodec;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Watches the published host list and hands on each newer one.
 *
 * <p>Thread-safe; one duty thread decides. While the service is down the last list stays.
 */
public final class HostListReader implements AutoCloseable {

  /** How long a watch waits in the service. */
  public static final Duration WATCH_PATIENCE = Duration.ofSeconds(30);

  private static final EventLog LOG = new EventLog("host_list_reader");
  private static final Duration LOST_CALL_MARGIN = Duration.ofSeconds(30);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
  private static final int RING_CAPACITY = 64;

  private final ServiceClient client;
  private final Consumer<HostList> lists;
  private final Ring<HostListEvent> ring = new Ring<>("host-list-reader", RING_CAPACITY);
  private final Duty<HostListWatch.State, HostListEvent, HostListEffect> duty;

  /**
   * Creates a reader that is not yet started.
   *
   * @param client calls the service
   * @param lists takes each newer list; runs on the thread of the reader
   * @param clock gives the time
   * @param randomNumbers gives random numbers
   */
  public HostListReader(
      ServiceClient client,
      Consumer<HostList> lists,
      MonotonicClock clock,
      LongSupplier randomNumbers) {
    this.client = client;
    this.lists = lists;
    this.duty =
        new Duty<>(
            ring,
            HostListWatch.State.initial(clock.now()),
            new HostListWatch(WATCH_PATIENCE.plus(LOST_CALL_MARGIN)),
            this::carryOut,
            () -> new HostListEvent.Tick(randomNumbers.getAsLong()),
            TICK_INTERVAL,
            clock,
            failure -> LOG.failure("host_list_failed", failure));
  }

  /** Starts to watch. */
  public void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
  }

  private void carryOut(HostListEffect effect) {
    if (effect instanceof HostListEffect.ListChanged changed) {
      LOG.info("host_list_read", "version", changed.list().version());
      lists.accept(changed.list());
    } else if (effect instanceof HostListEffect.Watch watch) {
      String path =
          "/v1/hosts/watch?version="
              + watch.version()
              + "&wait_milliseconds="
              + WATCH_PATIENCE.toMillis();
      client.get(path, WATCH_PATIENCE, answer -> ring.offer(eventOf(answer)));
    }
  }

  private static HostListEvent eventOf(ServiceAnswer answer) {
    if (answer.status() == ServiceAnswer.NOT_MODIFIED) {
      return new HostListEvent.Unchanged();
    }
    if (answer.status() != ServiceAnswer.OK) {
      LOG.warning(
          "host_list_unavailable",
          "status",
          answer.status(),
          "reason",
          answer.failure().map(Throwable::toString).orElse("unexpected status"));
      return new HostListEvent.Failed();
    }
    try {
      return new HostListEvent.ListRead(HostListCodec.decode(answer.body()));
    } catch (CodecException exception) {
      LOG.warning("host_list_refused", "reason", exception.getMessage());
      return new HostListEvent.Failed();
    }
  }
}
