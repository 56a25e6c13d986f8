package org.parsleyhead.gateway.api;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchRefusal;
import org.parsleyhead.core.dispatch.ServingRequest;

/**
 * Maps the headers between callers, hosts and instances to the values of the core and back.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface HttpDialect {

  /**
   * Decodes the head of a request.
   *
   * @param key the number of the request on this host
   * @param head the head as received from the caller
   * @throws InvalidRequestException if a header is malformed
   */
  ServingRequest readRequest(long key, HttpRequest head);

  /**
   * Returns the headers of a request to an instance.
   *
   * @param head the head of the request as received from the caller
   * @param send the attempt to which the headers belong
   * @param lastEvent the identifier of the last event that was forwarded to the caller, if any
   */
  HttpHeaders upstreamHeaders(
      HttpRequest head, DispatchEffect.Send send, Optional<String> lastEvent);

  /** Decodes the head of a response from an instance. */
  ResponseHead readResponse(HttpResponse response);

  /** Returns the headers of an instance's response for the caller, without hop-by-hop headers. */
  HttpHeaders callerHeaders(HttpResponse response);

  /** Returns the headers of a refusal that this host sends itself. */
  HttpHeaders refusalHeaders(ServingRequest request, DispatchRefusal refusal);
}
