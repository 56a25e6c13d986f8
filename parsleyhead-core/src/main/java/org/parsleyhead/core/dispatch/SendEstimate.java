package org.parsleyhead.core.dispatch;

import java.util.OptionalDouble;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * What was expected of an instance at the usual pace when a request was sent to it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sentAt when the request was sent
 * @param queueingMilliseconds the expected time until the instance begins with the request
 * @param workMilliseconds the expected time from then until the first event, or until the end of a
 *     response that is not a stream
 * @param lowestPace the lowest pace that the response can show
 */
record SendEstimate(
    MonotonicTime sentAt, double queueingMilliseconds, double workMilliseconds, double lowestPace) {

  /**
   * Time that depends on neither work nor load: a new connection, the network and the scheduling of
   * two processes.
   */
  private static final double FIXED_MILLISECONDS = 10;

  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  /** Returns the estimate for a server that reads prompts. */
  static SendEstimate ofPrompt(
      double tokensPerMillisecond, InstanceLoad others, InstanceLoad added, MonotonicTime time) {
    return new SendEstimate(
        time,
        others.pendingPromptTokens() / tokensPerMillisecond,
        added.pendingPromptTokens() / tokensPerMillisecond,
        ServerPace.MINIMUM);
  }

  /**
   * Returns the estimate for a plain service. How much work its requests are is not known, so that
   * a response that is faster than expected does not show a fast server.
   */
  static SendEstimate ofPlain(ActiveRequest request, InstanceView view, MonotonicTime time) {
    double work = PlainExpectation.workMilliseconds(request);
    return new SendEstimate(time, work * PlainExpectation.queueing(view, time), work, 1);
  }

  /** Returns the time that the response took compared with the expected one. */
  OptionalDouble measured(MonotonicTime time) {
    return OptionalDouble.of(
        (elapsedMilliseconds(time) + FIXED_MILLISECONDS)
            / (queueingMilliseconds + workMilliseconds + FIXED_MILLISECONDS));
  }

  /** Returns whether the response came too early for the queue that was expected. */
  boolean contradictsQueue(MonotonicTime time) {
    return elapsedMilliseconds(time) < queueingMilliseconds / 2;
  }

  private double elapsedMilliseconds(MonotonicTime time) {
    return time.since(sentAt).toNanos() / NANOSECONDS_PER_MILLISECOND;
  }
}
