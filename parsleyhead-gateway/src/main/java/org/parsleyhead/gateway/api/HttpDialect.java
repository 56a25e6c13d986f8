package org.parsleyhead.gateway.api;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchRefusal;
import org.parsleyhead.core.dispatch.ServingRequest;

/**
 * The headers between callers, hosts and instances.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface HttpDialect {

  /**
   * Reads a request.
   *
   * @throws InvalidRequestException if a header has no meaning
   */
  ServingRequest readRequest(long key, HttpRequest head);

  /**
   * Returns the headers for an instance.
   *
   * @param head the request as the caller sent it
   * @param send where it goes
   * @param lastEvent the last event that the caller has got, if it has got one
   */
  HttpHeaders upstreamHeaders(
      HttpRequest head, DispatchEffect.Send send, Optional<String> lastEvent);

  /** Reads the head of an answer. */
  ResponseHead readResponse(HttpResponse response);

  /** Returns the headers of an answer for the caller, without those of one connection. */
  HttpHeaders callerHeaders(HttpResponse response);

  /** Returns the headers of an answer of this host's own. */
  HttpHeaders refusalHeaders(ServingRequest request, DispatchRefusal refusal);
}
