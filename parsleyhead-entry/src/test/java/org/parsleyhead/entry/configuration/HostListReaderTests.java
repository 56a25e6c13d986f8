package org.parsleyhead.entry.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.codec.json.HostListCodec;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.runtime.duty.MonotonicClock;

@DisplayName("The reader of the host list")
class HostListReaderTests {

  private static final HostList FIRST = new HostList(3, List.of(), Set.of());
  private static final HostList SECOND =
      new HostList(4, List.of(), Set.of(new UpstreamName("engine-1")));

  @Test
  @DisplayName("passes on each newer list and continues after failures")
  void passesOnLists() throws Exception {
    BlockingQueue<HostList> lists = new LinkedBlockingQueue<>();
    try (FakeService service = new FakeService();
        ServiceClient client = ServiceClient.create(service.uri());
        HostListReader reader =
            new HostListReader(client, lists::add, MonotonicClock.SYSTEM, () -> 5)) {
      reader.start();
      while (service.requests().isEmpty()) {
        Thread.sleep(10);
      }
      service.respond(path(0), 200, 0, HostListCodec.encode(FIRST));
      service.respond(path(3), 200, 0, HostListCodec.encode(SECOND));
      assertEquals(FIRST, lists.poll(20, TimeUnit.SECONDS));
      assertEquals(SECOND, lists.poll(20, TimeUnit.SECONDS));
    }
  }

  @Test
  @DisplayName("never passes on a list that is not newer")
  void ignoresOldLists() {
    HostListWatch watch = new HostListWatch(HostListReader.WATCH_TIMEOUT);
    MonotonicTime time = MonotonicTime.ORIGIN;
    HostListWatch.State state = HostListWatch.State.initial(time);
    state = watch.apply(state, new HostListEvent.ListRead(SECOND), time).state();
    assertEquals(List.of(), watch.apply(state, new HostListEvent.ListRead(FIRST), time).effects());
  }

  private static String path(long version) {
    return "/v1/hosts/watch?version=" + version + "&wait_milliseconds=30000";
  }
}
