package org.parsleyhead.gateway.upstreams;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.parsleyhead.gateway.api.ResponseHead;
import org.parsleyhead.gateway.callers.Exchange;

/**
 * How a response relates to the request under way on its connection.
 *
 * <p>The connection has carried the identifier of the request once, so that a response which bears
 * it answers this request.
 */
enum ResponseMatch {
  /** The response to the request. */
  ANSWER,

  /** A response to another request, or one that no instance has stamped; another may follow. */
  OTHER,

  /** The response cannot be attributed, or the one that follows it could not be read. */
  UNCERTAIN;

  /**
   * Matches the head of a final response.
   *
   * @param reusedConnection whether the connection has carried other requests before
   */
  static ResponseMatch of(
      ResponseHead head,
      HttpResponseStatus status,
      HttpMethod method,
      String requestIdentifier,
      boolean reusedConnection) {
    if (head.requestIdentifier().isEmpty() && reusedConnection) {
      return UNCERTAIN;
    }
    boolean success = Exchange.isSuccess(status);
    boolean matches = head.requestIdentifier().map(requestIdentifier::equals).orElse(!success);
    if (matches && (head.stamped() || !success)) {
      return ANSWER;
    }
    // The decoder takes the first response to a HEAD request as the one without a body.
    return method.equals(HttpMethod.HEAD) ? UNCERTAIN : OTHER;
  }
}
