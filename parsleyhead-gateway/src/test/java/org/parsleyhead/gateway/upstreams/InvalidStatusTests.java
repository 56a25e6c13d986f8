package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.dispatch.AttemptOutcome;
import org.parsleyhead.core.dispatch.AttemptResult;

@DisplayName("A response whose status is not one of three digits from 100 to 599")
@Timeout(60)
class InvalidStatusTests {

  private static AttemptResult resultOf(String path, String status) throws Exception {
    byte[] response =
        ("HTTP/1.1 "
                + status
                + " Text\r\nId: r\r\nStamp: s\r\nContent-Length: 9\r\n\r\ndata: x\n\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    try (FakeRawServer server = new FakeRawServer((identifier, output) -> output.write(response));
        ForwardingHost host = new ForwardingHost(server.port());
        Socket caller = host.request(path, "r")) {
      AttemptResult result = host.nextEnd().result();
      assertTrue(caller.isConnected());
      return result;
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "000", "099", "0", "20", "600", "999", "2000", "0200", "00200", "+200", "-200", "2e2",
        "200x"
      })
  @DisplayName(
      "ends the attempt as broken and has no status, which guards against a caller that waits for"
          + " nothing or receives that status")
  void endsAsBroken(String status) throws Exception {
    for (String path : new String[] {"/plain", "/stream"}) {
      AttemptResult result = resultOf(path, status);
      assertEquals(AttemptOutcome.BROKEN, result.outcome());
      assertEquals(0, result.status());
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {200, 299, 304, 404, 500, 599})
  @DisplayName("does not include these, which guards against too strict a check")
  void acceptsValidStatuses(int status) throws Exception {
    assertEquals(status, resultOf("/plain", Integer.toString(status)).status());
  }
}
