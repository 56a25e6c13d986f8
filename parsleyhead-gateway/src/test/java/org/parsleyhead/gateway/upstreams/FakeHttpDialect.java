package org.parsleyhead.gateway.upstreams;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchRefusal;
import org.parsleyhead.core.dispatch.ReportedLoad;
import org.parsleyhead.core.dispatch.ServingRequest;
import org.parsleyhead.gateway.api.HttpDialect;
import org.parsleyhead.gateway.api.ResponseHead;

/**
 * A dialect with the headers Id, Not-Run, Stamp, Leaving, Retry-After and Load, which holds the
 * running requests; the status 421 is misdirected. Stateless and thread-safe.
 */
final class FakeHttpDialect implements HttpDialect {

  private static final String IDENTIFIER = "Id";

  @Override
  public ServingRequest readRequest(long key, HttpRequest head) {
    return new ServingRequest(
        key,
        head.headers().get(IDENTIFIER, ""),
        "host",
        head.uri(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty());
  }

  @Override
  public HttpHeaders upstreamHeaders(
      HttpRequest head, DispatchEffect.Send send, Optional<String> lastEvent) {
    return head.headers().copy();
  }

  @Override
  public ResponseHead readResponse(HttpResponse response) {
    HttpHeaders headers = response.headers();
    return new ResponseHead(
        Optional.ofNullable(headers.get(IDENTIFIER)),
        headers.contains("Not-Run"),
        response.status().code() == 421,
        headers.contains("Stamp"),
        headers.contains("Leaving"),
        Optional.ofNullable(headers.get("Retry-After")).map(Long::valueOf).map(Duration::ofSeconds),
        Optional.ofNullable(headers.get("Load"))
            .map(Integer::valueOf)
            .map(running -> new ReportedLoad(running, 0, 8, OptionalDouble.empty(), Duration.ZERO)),
        Optional.empty());
  }

  @Override
  public HttpHeaders callerHeaders(HttpResponse response) {
    return response.headers().copy();
  }

  @Override
  public HttpHeaders refusalHeaders(ServingRequest request, DispatchRefusal refusal) {
    return new DefaultHttpHeaders();
  }
}
