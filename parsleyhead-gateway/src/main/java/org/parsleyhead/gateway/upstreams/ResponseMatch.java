package org.parsleyhead.gateway.upstreams;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;
import org.parsleyhead.gateway.api.ResponseHead;
import org.parsleyhead.gateway.callers.Exchange;

/**
 * How a response relates to the request under way on its connection.
 *
 * <p>The connection has carried the identifier of the request once, so that a whole response which
 * bears it answers this request.
 */
enum ResponseMatch {
  /** The response to the request. */
  ANSWER,

  /** A response to another request, or one that no instance has stamped; another may follow. */
  OTHER,

  /** The response cannot be attributed, or the one that follows it could not be read. */
  UNATTRIBUTABLE;

  /** A status line; in a head, the response that it begins was joined to one that was cut off. */
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [0-9]{3}");

  /**
   * Matches the head of a final response.
   *
   * @param reusedConnection whether the connection has carried other requests before
   */
  static ResponseMatch of(
      HttpResponse response,
      ResponseHead head,
      HttpMethod method,
      String requestIdentifier,
      boolean reusedConnection) {
    if (reusedConnection && (head.requestIdentifier().isEmpty() || holdsStatusLine(response))) {
      return UNATTRIBUTABLE;
    }
    boolean success = Exchange.isSuccess(response.status());
    boolean matches = head.requestIdentifier().map(requestIdentifier::equals).orElse(!success);
    if (matches && (head.stamped() || !success)) {
      return ANSWER;
    }
    // The decoder takes the first response to a HEAD request as the one without a body.
    return method.equals(HttpMethod.HEAD) ? UNATTRIBUTABLE : OTHER;
  }

  private static boolean holdsStatusLine(HttpResponse response) {
    if (STATUS_LINE.matcher(response.status().reasonPhrase()).find()) {
      return true;
    }
    for (Map.Entry<String, String> field : response.headers()) {
      if (STATUS_LINE.matcher(field.getValue()).find()) {
        return true;
      }
    }
    return false;
  }
}
