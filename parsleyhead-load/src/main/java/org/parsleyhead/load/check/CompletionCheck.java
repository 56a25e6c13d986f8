package org.parsleyhead.load.check;

import java.util.Optional;
import org.parsleyhead.load.plan.PlannedRequest;
import org.parsleyhead.load.settings.LoadSettings.Kind;
import org.parsleyhead.standin.engine.TokenSequence;

/**
 * Verifies the response to a completion request.
 *
 * <p>Stateless and thread-safe. A response is correct if it names the requested model, contains
 * each expected token exactly once and in order, ends at an allowed length for its finish reason,
 * and reports the actual token counts as its usage.
 */
public final class CompletionCheck {

  private CompletionCheck() {}

  /** Returns the prompt in the form in which an engine receives it. */
  public static String renderPrompt(PlannedRequest request) {
    return request.traffic().kind() == Kind.CHAT
        ? "user: " + request.content() + "\n"
        : request.content();
  }

  /** Returns the number of tokens received; each token ends with a space. */
  public static int countTokens(ReceivedCompletion completion) {
    return (int) completion.text().chars().filter(character -> character == ' ').count();
  }

  /** Returns the first problem of a complete response; empty if it is correct. */
  public static Optional<String> findProblem(
      PlannedRequest request, ReceivedCompletion completion) {
    if (completion.malformed().isPresent()) {
      return completion.malformed();
    }
    if (completion.unexpectedModel().isPresent()) {
      return Optional.of("answer of model " + completion.unexpectedModel().get());
    }
    return findTextProblem(request, completion).or(() -> findLengthProblem(request, completion));
  }

  private static Optional<String> findTextProblem(
      PlannedRequest request, ReceivedCompletion completion) {
    TokenSequence expected = TokenSequence.of(request.model(), renderPrompt(request));
    String[] tokens =
        completion.text().isEmpty() ? new String[0] : completion.text().split("(?<= )");
    for (int number = 0; number < tokens.length; number++) {
      if (!tokens[number].equals(expected.text(number))) {
        return Optional.of("token " + number + " is " + tokens[number].strip());
      }
    }
    return Optional.empty();
  }

  private static Optional<String> findLengthProblem(
      PlannedRequest request, ReceivedCompletion completion) {
    int tokens = countTokens(completion);
    if (completion.completionTokens() != tokens) {
      return Optional.of(
          "usage says " + completion.completionTokens() + " tokens of " + tokens + " received");
    }
    int prompt = TokenSequence.promptTokens(renderPrompt(request));
    if (completion.promptTokens() != prompt) {
      return Optional.of("usage says " + completion.promptTokens() + " prompt tokens of " + prompt);
    }
    boolean allowed =
        switch (completion.finishReason()) {
          case "length" -> tokens == request.maximumTokens();
          case "stop" -> tokens < request.maximumTokens();
          default -> false;
        };
    return allowed
        ? Optional.empty()
        : Optional.of("ended by '" + completion.finishReason() + "' after " + tokens + " tokens");
  }
}
