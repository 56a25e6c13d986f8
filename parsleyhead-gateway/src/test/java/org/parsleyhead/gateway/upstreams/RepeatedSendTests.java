package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.parsleyhead.gateway.upstreams.RawResponses.response;
import static org.parsleyhead.gateway.upstreams.RawResponses.write;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.parsleyhead.core.dispatch.AttemptOutcome;
import org.parsleyhead.core.dispatch.AttemptResult;

/** A host sends a request again to a server that answers twice, the second time late. */
@DisplayName("A request that is sent again to a server that answers twice")
@Timeout(60)
class RepeatedSendTests {

  /**
   * Answers each request by its number of runs; before the answer to a request that the same
   * connection has carried before, it sends a second answer to the earlier one.
   */
  private static final class LateSecondAnswers implements FakeRawServer.Script {

    private final String secondAnswer;
    private final Map<OutputStream, Map<String, Integer>> carried = new ConcurrentHashMap<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final String[] answers;

    LateSecondAnswers(String secondAnswer, String... answers) {
      this.secondAnswer = secondAnswer;
      this.answers = answers;
    }

    @Override
    public void answer(String identifier, OutputStream output) throws IOException {
      int former =
          carried
              .computeIfAbsent(output, connection -> new HashMap<>())
              .merge(identifier, 1, Integer::sum);
      if (former > 1) {
        write(output, response(secondAnswer, identifier));
      }
      int run = runs.merge(identifier, 1, Integer::sum);
      write(output, response(answers[Math.min(run, answers.length) - 1], identifier));
    }
  }

  private static AttemptResult resultOfRepeatedSend(FakeRawServer.Script script) throws Exception {
    try (FakeRawServer server = new FakeRawServer(script);
        ForwardingHost host = new ForwardingHost(server.port());
        Socket first = host.request("/plain", "same")) {
      host.nextEnd();
      try (Socket other = host.request("/plain", "other")) {
        host.nextEnd();
        try (Socket second = host.request("/plain", "same")) {
          assertTrue(first.isConnected() && other.isConnected() && second.isConnected());
          return host.nextEnd().result();
        }
      }
    }
  }

  @Test
  @DisplayName("fails if the server fails it, although the earlier send has a late success")
  void failsDespiteLateSuccess() throws Exception {
    AttemptResult result =
        resultOfRepeatedSend(
            new LateSecondAnswers("200 OK", "503 Full\r\nNot-Run: 1", "500 Error"));
    assertEquals(AttemptOutcome.FAILED, result.outcome());
    assertEquals(500, result.status());
  }

  @Test
  @DisplayName("counts as run if the server runs it, although the earlier send was refused late")
  void countsAsRunDespiteLateRefusal() throws Exception {
    String refusal = "503 Full\r\nNot-Run: 1";
    AttemptResult result = resultOfRepeatedSend(new LateSecondAnswers(refusal, refusal, "200 OK"));
    assertEquals(AttemptOutcome.COMPLETED, result.outcome());
  }
}
