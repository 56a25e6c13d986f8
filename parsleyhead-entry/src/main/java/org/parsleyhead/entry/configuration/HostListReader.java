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
 * Watches the published host list and passes on each newer version.
 *
 * <p>While the service is unavailable, the last list remains in use.
 *
 * <p>Thread-safe; one duty thread runs {@link HostListWatch}.
 */
public final class HostListReader implements AutoCloseable {

  /** How long the service holds a watch open before it reports an unchanged list. */
  public static final Duration WATCH_TIMEOUT = Duration.ofSeconds(30);

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
   * @param client the client of the host list service
   * @param lists receives each newer list; runs on the duty thread of the reader
   * @param clock the clock of the duty
   * @param randomNumbers supplies random numbers for retry delays
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
            new HostListWatch(WATCH_TIMEOUT.plus(LOST_CALL_MARGIN)),
            this::execute,
            () -> new HostListEvent.Tick(randomNumbers.getAsLong()),
            TICK_INTERVAL,
            clock,
            failure -> LOG.failure("host_list_failed", failure));
  }

  /** Starts watching. */
  public void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
  }

  private void execute(HostListEffect effect) {
    if (effect instanceof HostListEffect.ListChanged changed) {
      LOG.info("host_list_read", "version", changed.list().version());
      lists.accept(changed.list());
    } else if (effect instanceof HostListEffect.Watch watch) {
      String path =
          "/v1/hosts/watch?version="
              + watch.version()
              + "&wait_milliseconds="
              + WATCH_TIMEOUT.toMillis();
      client.get(path, WATCH_TIMEOUT, response -> ring.offer(eventOf(response)));
    }
  }

  private static HostListEvent eventOf(ServiceResponse response) {
    if (response.status() == ServiceResponse.NOT_MODIFIED) {
      return new HostListEvent.Unchanged();
    }
    if (response.status() != ServiceResponse.OK) {
      LOG.warning(
          "host_list_unavailable",
          "status",
          response.status(),
          "reason",
          response.failure().map(Throwable::toString).orElse("unexpected status"));
      return new HostListEvent.Failed();
    }
    try {
      return new HostListEvent.ListRead(HostListCodec.decode(response.body()));
    } catch (CodecException exception) {
      LOG.warning("host_list_refused", "reason", exception.getMessage());
      return new HostListEvent.Failed();
    }
  }
}
