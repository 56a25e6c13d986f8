package org.parsleyhead.entry.configuration;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;

/**
 * Calls the configuration service and hands on whole answers.
 *
 * <p>Thread-safe. Each call gives exactly one outcome. Calls do not wait; outcomes come on the
 * threads of the client, which serves nothing else.
 */
public final class ServiceClient implements AutoCloseable {

  /** The longest answer that is accepted, in bytes. */
  static final int MAXIMUM_ANSWER_BYTES = 2 << 20;

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

  private final URI service;
  private final Duration answerTimeout;
  private final AsyncHttpClient client;

  ServiceClient(URI service, Duration answerTimeout, AsyncHttpClient client) {
    this.service = service;
    this.answerTimeout = answerTimeout;
    this.client = client;
  }

  /** Creates a client for the service at an address such as {@code http://127.0.0.1:7000}. */
  public static ServiceClient create(URI service) {
    return create(service, ANSWER_TIMEOUT);
  }

  static ServiceClient create(URI service, Duration answerTimeout) {
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
    return new ServiceClient(service, answerTimeout, Dsl.asyncHttpClient(configuration));
  }

  /**
   * Calls the service.
   *
   * @param pathAndQuery what is asked for, with a leading slash
   * @param patience how long the service may wait before it answers, beside its usual time
   * @param outcome takes the answer; empty of a body if there is none in time
   */
  void get(String pathAndQuery, Duration patience, Consumer<ServiceAnswer> outcome) {
    Duration timeout = answerTimeout.plus(patience);
    client
        .prepareGet(service.resolve(pathAndQuery).toString())
        .setRequestTimeout(timeout)
        .setReadTimeout(timeout)
        .execute(new BoundedAnswerHandler(MAXIMUM_ANSWER_BYTES, outcome));
  }

  @Override
  public void close() {
    try {
      client.close();
    } catch (IOException exception) {
      throw new ConfigurationReaderException(
          ConfigurationReaderException.CLOSE_FAILED, "the client cannot be closed", exception);
    }
  }
}
