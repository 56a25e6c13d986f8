package org.parsleyhead.load.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.load.plan.PlannedRequest;
import org.parsleyhead.load.plan.Schedule;
import org.parsleyhead.load.settings.LoadSettingsReader;
import org.parsleyhead.standin.engine.TokenSequence;

@DisplayName("The check of an answer")
class AnswerCheckTests {

  private static final PlannedRequest REQUEST =
      new Schedule(
              LoadSettingsReader.read(
                  """
                  targets = ["127.0.0.1:1"]
                  [traffic.chat]
                  model = "a@1"
                  output_tokens_minimum = 4
                  output_tokens_maximum = 4
                  """),
              "run")
          .next();
  private static final TokenSequence TOKENS =
      TokenSequence.of("a@1", AnswerCheck.promptOf(REQUEST));

  private final AnswerProgress answer = new AnswerProgress();

  @Test
  @DisplayName("passes each token once, in order, with the right usage")
  void passes() {
    part("a@1", TOKENS.text(0, 4));
    end("length", 4);
    assertEquals(Optional.empty(), AnswerCheck.problem(REQUEST, answer));
  }

  @Test
  @DisplayName("finds a lost, a doubled and a foreign token")
  void findsWrongTokens() {
    for (String text :
        List.of(
            TOKENS.text(0, 2) + TOKENS.text(3),
            TOKENS.text(0, 2) + TOKENS.text(1, 4),
            TOKENS.text(0, 3) + TokenSequence.of("a@2", "other").text(3))) {
      AnswerProgress wrong = new AnswerProgress();
      wrong.event("{\"model\":\"a@1\",\"choices\":[{\"text\":\"" + text + "\"}]}", "a@1");
      assertTrue(AnswerCheck.problem(REQUEST, wrong).orElse("").startsWith("token "), text);
    }
  }

  @Test
  @DisplayName("finds an answer of another version")
  void findsWrongVersion() {
    part("a@2", TOKENS.text(0, 4));
    end("length", 4);
    assertEquals("answer of model a@2", AnswerCheck.problem(REQUEST, answer).orElse(""));
  }

  @Test
  @DisplayName("finds wrong usage and an early end")
  void findsWrongLength() {
    part("a@1", TOKENS.text(0, 3));
    end("length", 3);
    assertEquals(
        "ended by 'length' after 3 tokens", AnswerCheck.problem(REQUEST, answer).orElse(""));
    end("length", 4);
    assertEquals(
        "usage says 4 tokens of 3 received", AnswerCheck.problem(REQUEST, answer).orElse(""));
  }

  @Test
  @DisplayName("gets whole events from bytes that arrive in any pieces")
  void splitsEvents() {
    EventSplitter splitter = new EventSplitter();
    byte[] bytes = "data: one\n\ndata: [DO".getBytes(StandardCharsets.UTF_8);
    assertEquals(List.of("one"), splitter.accept(bytes));
    assertEquals(List.of("[DONE]"), splitter.accept("NE]\r\n\r\n".getBytes()));
  }

  @Test
  @DisplayName("reads code and outcome of a refusal")
  void readsRefusal() {
    assertEquals(
        new Refusal("rate_exceeded", "not_run"),
        Refusal.read("{\"error\":{\"code\":\"rate_exceeded\",\"outcome\":\"not_run\"}}"));
    assertEquals(new Refusal("", ""), Refusal.read("<html>"));
  }

  private void part(String model, String text) {
    answer.event(
        "{\"model\":\"" + model + "\",\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}",
        "a@1");
  }

  private void end(String reason, int tokens) {
    int prompt = TokenSequence.promptTokens(AnswerCheck.promptOf(REQUEST));
    answer.event(
        String.format(
            "{\"model\":\"a@1\",\"choices\":[{\"finish_reason\":\"%s\"}],"
                + "\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}",
            reason, prompt, tokens),
        "a@1");
  }
}
