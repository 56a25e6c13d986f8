package org.parsleyhead.entry.configuration;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;

/**
 * A non-blocking HTTP client of the configuration service or the host list service.
 *
 * <p>Each call invokes its callback exactly once, with a complete response or a failure, on the
 * threads of the client, which are used for nothing else.
 *
 * <p>Thread-safe.
 */
public final class ServiceClient implements AutoCloseable {

  /** The maximum size of a response body, in bytes. */
  static final int MAXIMUM_RESPONSE_BYTES = 2 << 20;

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

  private final URI service;
  private final Duration responseTimeout;
  private final AsyncHttpClient client;

  ServiceClient(URI service, Duration responseTimeout, AsyncHttpClient client) {
    this.service = service;
    this.responseTimeout = responseTimeout;
    this.client = client;
  }

  /** Creates a client of the service at a base URI such as {@code http://127.0.0.1:7000}. */
  public static ServiceClient create(URI service) {
    return create(service, RESPONSE_TIMEOUT);
  }

  static ServiceClient create(URI service, Duration responseTimeout) {
    DefaultAsyncHttpClientConfig configuration =
        Dsl.config()
            .setThreadPoolName("configuration-client")
            .setIoThreadsCount(1)
            .setConnectTimeout(CONNECT_TIMEOUT)
            .setMaxRequestRetry(0)
            .setShutdownQuietPeriod(Duration.ZERO)
            .setShutdownTimeout(SHUTDOWN_TIMEOUT)
            .setFollowRedirect(false)
            .build();
    return new ServiceClient(service, responseTimeout, Dsl.asyncHttpClient(configuration));
  }

  /**
   * Sends a GET request.
   *
   * @param pathAndQuery the path and query, with a leading slash
   * @param serverWait how long the service may hold the request, in addition to the usual timeout
   * @param callback receives the response, or the failure if there is none in time
   */
  void get(String pathAndQuery, Duration serverWait, Consumer<ServiceResponse> callback) {
    Duration timeout = responseTimeout.plus(serverWait);
    client
        .prepareGet(service.resolve(pathAndQuery).toString())
        .setRequestTimeout(timeout)
        .setReadTimeout(timeout)
        .execute(new BoundedResponseHandler(MAXIMUM_RESPONSE_BYTES, callback));
  }

  @Override
  public void close() {
    try {
      client.close();
    } catch (IOException exception) {
      throw new ConfigurationReaderException(
          ConfigurationReaderException.CLOSE_FAILED, "cannot close the HTTP client", exception);
    }
  }
}
