package org.parsleyhead.standin.engine;

/**
 * A request in the queue or in the batch of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param exchange the number of the exchange
 * @param arrivalNumber the position in the order of arrival
 * @param request the completion request
 * @param targetLength the length of the whole completion, in tokens
 * @param nextToken the index of the next token
 */
record Sequence(
    long exchange, long arrivalNumber, CompletionRequest request, int targetLength, int nextToken) {

  Sequence withNextToken() {
    return new Sequence(exchange, arrivalNumber, request, targetLength, nextToken + 1);
  }

  boolean isFinished() {
    return nextToken >= targetLength;
  }

  int generatedTokens() {
    return nextToken - request.resumeFrom();
  }

  int cacheTokens() {
    return request.promptTokens() + nextToken;
  }
}
