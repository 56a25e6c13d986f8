package org.parsleyhead.load.check;

import java.util.Optional;
import org.parsleyhead.load.plan.PlannedRequest;
import org.parsleyhead.load.settings.LoadSettings.Kind;
import org.parsleyhead.standin.engine.TokenSequence;

/**
 * Checks the answer to a completion against its request.
 *
 * <p>Stateless and thread-safe. An answer passes if it comes from the model that was asked for,
 * holds each token exactly once and in order, has the length that it may have and reports it.
 */
public final class AnswerCheck {

  private AnswerCheck() {}

  /** Returns the prompt as an engine sees it. */
  public static String promptOf(PlannedRequest request) {
    return request.traffic().kind() == Kind.CHAT
        ? "user: " + request.content() + "\n"
        : request.content();
  }

  /** Returns the number of tokens that a text holds. */
  public static int countTokens(AnswerProgress answer) {
    return (int) answer.text().chars().filter(character -> character == ' ').count();
  }

  /** Returns what is wrong with an answer that ended; empty if nothing is. */
  public static Optional<String> problem(PlannedRequest request, AnswerProgress answer) {
    if (answer.malformed().isPresent()) {
      return answer.malformed();
    }
    if (answer.foreignModel().isPresent()) {
      return Optional.of("answer of model " + answer.foreignModel().get());
    }
    return textProblem(request, answer).or(() -> lengthProblem(request, answer));
  }

  private static Optional<String> textProblem(PlannedRequest request, AnswerProgress answer) {
    TokenSequence expected = TokenSequence.of(request.model(), promptOf(request));
    String[] tokens = answer.text().isEmpty() ? new String[0] : answer.text().split("(?<= )");
    for (int number = 0; number < tokens.length; number++) {
      if (!tokens[number].equals(expected.text(number))) {
        return Optional.of("token " + number + " is " + tokens[number].strip());
      }
    }
    return Optional.empty();
  }

  private static Optional<String> lengthProblem(PlannedRequest request, AnswerProgress answer) {
    int tokens = countTokens(answer);
    if (answer.completionTokens() != tokens) {
      return Optional.of(
          "usage says " + answer.completionTokens() + " tokens of " + tokens + " received");
    }
    int prompt = TokenSequence.promptTokens(promptOf(request));
    if (answer.promptTokens() != prompt) {
      return Optional.of("usage says " + answer.promptTokens() + " prompt tokens of " + prompt);
    }
    boolean right =
        switch (answer.finishReason()) {
          case "length" -> tokens == request.maximumTokens();
          case "stop" -> tokens < request.maximumTokens();
          default -> false;
        };
    return right
        ? Optional.empty()
        : Optional.of("ended by '" + answer.finishReason() + "' after " + tokens + " tokens");
  }
}
