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

@DisplayName("The verification of responses")
class CompletionCheckTests {

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
      TokenSequence.of("a@1", CompletionCheck.renderPrompt(REQUEST));

  private final ReceivedCompletion completion = new ReceivedCompletion();

  @Test
  @DisplayName("accepts a completion with each token once, in order, and with correct usage")
  void passes() {
    receivePart("a@1", TOKENS.text(0, 4));
    receiveEnd("length", 4);
    assertEquals(Optional.empty(), CompletionCheck.findProblem(REQUEST, completion));
  }

  @Test
  @DisplayName("detects a missing, a duplicate and an unexpected token")
  void findsWrongTokens() {
    for (String text :
        List.of(
            TOKENS.text(0, 2) + TOKENS.text(3),
            TOKENS.text(0, 2) + TOKENS.text(1, 4),
            TOKENS.text(0, 3) + TokenSequence.of("a@2", "other").text(3))) {
      ReceivedCompletion incorrect = new ReceivedCompletion();
      incorrect.acceptEvent("{\"model\":\"a@1\",\"choices\":[{\"text\":\"" + text + "\"}]}", "a@1");
      assertTrue(
          CompletionCheck.findProblem(REQUEST, incorrect).orElse("").startsWith("token "), text);
    }
  }

  @Test
  @DisplayName("detects a completion from another adapter version")
  void findsWrongVersion() {
    receivePart("a@2", TOKENS.text(0, 4));
    receiveEnd("length", 4);
    assertEquals(
        "answer of model a@2", CompletionCheck.findProblem(REQUEST, completion).orElse(""));
  }

  @Test
  @DisplayName("detects incorrect usage and a premature end")
  void findsWrongLength() {
    receivePart("a@1", TOKENS.text(0, 3));
    receiveEnd("length", 3);
    assertEquals(
        "ended by 'length' after 3 tokens",
        CompletionCheck.findProblem(REQUEST, completion).orElse(""));
    receiveEnd("length", 4);
    assertEquals(
        "usage says 4 tokens of 3 received",
        CompletionCheck.findProblem(REQUEST, completion).orElse(""));
  }

  @Test
  @DisplayName("extracts events from bytes that are split at arbitrary positions")
  void splitsEvents() {
    EventSplitter splitter = new EventSplitter();
    byte[] bytes = "data: one\n\ndata: [DO".getBytes(StandardCharsets.UTF_8);
    assertEquals(List.of("one"), splitter.accept(bytes));
    assertEquals(List.of("[DONE]"), splitter.accept("NE]\r\n\r\n".getBytes()));
  }

  @Test
  @DisplayName("reads the code of a refusal and whether the request ran")
  void readsRefusal() {
    assertEquals(
        new Refusal("rate_exceeded", "not_run"),
        Refusal.read("{\"error\":{\"code\":\"rate_exceeded\",\"outcome\":\"not_run\"}}"));
    assertEquals(new Refusal("", ""), Refusal.read("<html>"));
  }

  private void receivePart(String model, String text) {
    completion.acceptEvent(
        "{\"model\":\"" + model + "\",\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}",
        "a@1");
  }

  private void receiveEnd(String reason, int tokens) {
    int prompt = TokenSequence.promptTokens(CompletionCheck.renderPrompt(REQUEST));
    completion.acceptEvent(
        String.format(
            "{\"model\":\"a@1\",\"choices\":[{\"finish_reason\":\"%s\"}],"
                + "\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}",
            reason, prompt, tokens),
        "a@1");
  }
}
