package org.parsleyhead.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.codec.json.HostListCodec;
import org.parsleyhead.core.membership.HostList;

@DisplayName("A mesh of proxies between entry hosts")
class StandinMeshTests {

  private static final int ADMINISTRATION = 0;
  private static final int HOST_LIST_OF_FIRST = 1;
  private static final int PEER_OF_SECOND = 3;
  private static final int FIRST_PROXY = 4;
  private static final int FIRST_TO_SECOND_OFFSET = 1;
  private static final String SETTINGS =
      """
      [administration]
      endpoint = "127.0.0.1:PORT0"
      [mesh]
      first_proxy = "127.0.0.1:PORT4"
      [mesh.host.entry-1]
      endpoint = "127.0.0.1:PORT1"
      [mesh.host.entry-2]
      endpoint = "127.0.0.1:PORT2"
      [service.peer-of-entry-2]
      endpoint = "127.0.0.1:PORT3"
      """;

  private final RunningFleet fleet = new RunningFleet(SETTINGS, 8);

  @BeforeEach
  void publish() throws Exception {
    String list =
        "{\"version\":4,\"upstreams\":[],\"hosts\":["
            + host("entry-1", 1)
            + ","
            + host("entry-2", fleet.port(PEER_OF_SECOND))
            + "]}";
    assertEquals(204, fleet.call("PUT", ADMINISTRATION, "/admin/hosts", list).statusCode());
  }

  @AfterEach
  void close() {
    fleet.close();
  }

  @Test
  @DisplayName("publishes the proxy endpoints of the other hosts to each host")
  void rewritesEndpoints() throws Exception {
    String document = fleet.call("GET", HOST_LIST_OF_FIRST, "/v1/hosts/watch?version=3", "").body();
    HostList list = HostListCodec.decode(document.getBytes(StandardCharsets.UTF_8));
    assertEquals(1, list.hosts().get(0).peerEndpoint().port());
    assertEquals(
        fleet.port(FIRST_PROXY) + FIRST_TO_SECOND_OFFSET,
        list.hosts().get(1).peerEndpoint().port());
  }

  @Test
  @DisplayName("disconnects hosts of different groups until the partition is healed")
  void partitions() throws Exception {
    assertEquals(200, callThroughProxy());
    String partition = "{\"groups\":[[\"entry-1\"],[\"entry-2\"]],\"fault\":{\"cut\":true}}";
    fleet.call("PUT", ADMINISTRATION, "/admin/partitions", partition);
    assertThrows(IOException.class, this::callThroughProxy);
    fleet.call("DELETE", ADMINISTRATION, "/admin/partitions", "");
    assertEquals(200, callThroughProxy());
  }

  @Test
  @DisplayName("keeps hosts of the same group connected during a partition")
  void keepsGroups() throws Exception {
    String partition = "{\"groups\":[[\"entry-1\",\"entry-2\"]],\"fault\":{\"cut\":true}}";
    fleet.call("PUT", ADMINISTRATION, "/admin/partitions", partition);
    assertEquals(200, callThroughProxy());
  }

  private int callThroughProxy() throws IOException, InterruptedException {
    return fleet
        .callPort("POST", fleet.port(FIRST_PROXY) + FIRST_TO_SECOND_OFFSET, "/hello", "x")
        .statusCode();
  }

  private static String host(String name, int port) {
    return "{\"name\":\""
        + name
        + "\",\"peer_endpoint\":\"127.0.0.1:"
        + port
        + "\",\"region\":\"r\",\"failure_domain\":\"d\",\"cell\":\"c\",\"state\":\"live\"}";
  }
}
