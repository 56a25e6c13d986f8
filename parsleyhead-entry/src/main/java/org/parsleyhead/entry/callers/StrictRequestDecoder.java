package org.parsleyhead.entry.callers;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes HTTP/1.1 requests and refuses those whose length two parsers might interpret differently.
 * Confined to the event loop of its channel.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  StrictRequestDecoder(HttpDecoderConfig config) {
    super(config);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
  }
}
