package org.parsleyhead.standin.engine;

/**
 * One request in the queue or the batch of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param exchange the number of its exchange
 * @param arrivalNumber its place in the order of arrival
 * @param request what is generated
 * @param targetLength the length at which the answer ends, in tokens
 * @param nextToken the number of the next token
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
