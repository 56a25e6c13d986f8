package org.parsleyhead.operator.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.operator.OperatorException;

/**
 * Queries hosts over HTTP.
 *
 * <p>Thread-safe. Each query opens its own connection and has a timeout.
 */
public final class HttpHostQuery implements HostQuery {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final int STATUS_OK = 200;

  @Override
  public String get(Endpoint endpoint, String pathAndQuery) {
    var settings =
        Dsl.config()
            .setConnectTimeout(CONNECT_TIMEOUT)
            .setRequestTimeout(REQUEST_TIMEOUT)
            .setMaxRequestRetry(0);
    try (AsyncHttpClient client = Dsl.asyncHttpClient(settings)) {
      String address = "http://" + endpoint + pathAndQuery;
      Response response = client.prepareGet(address).execute().get();
      if (response.getStatusCode() != STATUS_OK) {
        throw failed("status " + response.getStatusCode(), null);
      }
      return response.getResponseBody();
    } catch (ExecutionException exception) {
      throw failed(exception.getCause().getMessage(), exception);
    } catch (IOException exception) {
      throw failed(exception.getMessage(), exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw failed("interrupted", exception);
    }
  }

  private static OperatorException failed(String message, Throwable cause) {
    return new OperatorException(OperatorException.HOST_FAILED, message, cause);
  }
}
