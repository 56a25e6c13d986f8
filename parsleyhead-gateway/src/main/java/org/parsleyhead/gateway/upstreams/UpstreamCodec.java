package org.parsleyhead.gateway.upstreams;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;

/**
 * Encodes one request and decodes the responses on its connection until it is answered.
 *
 * <p>Confined to the event loop. A status that is not one of three digits from 100 to 599 makes a
 * message invalid: the decoder of the library takes any number for a status, and those below 200
 * for an interim response, after which the response would be awaited.
 */
final class UpstreamCodec
    extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {

  /**
   * Creates the codec of a request.
   *
   * @param method the method of the request, on which depends whether the response has a body
   */
  UpstreamCodec(HttpDecoderConfig config, HttpMethod method) {
    super(new Decoder(config, method), new HttpRequestEncoder());
  }

  /** Decodes responses, the first final one as that to the request. Confined to the event loop. */
  private static final class Decoder extends HttpResponseDecoder {

    private Optional<HttpMethod> unanswered;

    Decoder(HttpDecoderConfig config, HttpMethod method) {
      super(config);
      this.unanswered = Optional.of(method);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
      if (!validStatus(initialLine[1])) {
        throw new IllegalArgumentException("the status is not a number from 100 to 599");
      }
      return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      HttpResponse response = (HttpResponse) message;
      if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        return super.isContentAlwaysEmpty(message);
      }
      boolean withoutBody = unanswered.filter(HttpMethod.HEAD::equals).isPresent();
      unanswered = Optional.empty();
      return withoutBody || super.isContentAlwaysEmpty(message);
    }

    private static boolean validStatus(String status) {
      return status.length() == 3
          && status.charAt(0) >= '1'
          && status.charAt(0) <= '5'
          && digit(status.charAt(1))
          && digit(status.charAt(2));
    }

    private static boolean digit(char character) {
      return character >= '0' && character <= '9';
    }
  }
}
