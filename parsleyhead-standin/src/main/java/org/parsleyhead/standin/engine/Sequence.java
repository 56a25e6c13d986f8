package org.parsleyhead.standin.engine;

/**
 * One request in the queue or the batch of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param exchange the number of its exchange
 * @param arrival its place in the order of arrival
 * @param request what is generated
 * @param target the length at which the answer ends, in tokens
 * @param next the number of the next token
 */
record Sequence(long exchange, long arrival, CompletionRequest request, int target, int next) {

  Sequence advanced() {
    return new Sequence(exchange, arrival, request, target, next + 1);
  }

  boolean finished() {
    return next >= target;
  }

  int generated() {
    return next - request.resumeFrom();
  }

  int cacheTokens() {
    return request.promptTokens() + next;
  }
}
