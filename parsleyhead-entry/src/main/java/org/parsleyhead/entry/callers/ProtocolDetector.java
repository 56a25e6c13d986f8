package org.parsleyhead.entry.callers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http2.Http2CodecUtil;
import java.util.List;
import java.util.function.Consumer;

/**
 * Distinguishes HTTP/2 with prior knowledge from HTTP/1.1 by the connection preface, and configures
 * the pipeline accordingly. Confined to the event loop of its channel.
 */
final class ProtocolDetector extends ByteToMessageDecoder {

  private final Consumer<ChannelPipeline> http1Configurer;
  private final Consumer<ChannelPipeline> http2Configurer;

  ProtocolDetector(
      Consumer<ChannelPipeline> http1Configurer, Consumer<ChannelPipeline> http2Configurer) {
    this.http1Configurer = http1Configurer;
    this.http2Configurer = http2Configurer;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf received, List<Object> decoded) {
    ByteBuf preface = Http2CodecUtil.connectionPrefaceBuf();
    try {
      int length = Math.min(received.readableBytes(), preface.readableBytes());
      boolean matches = ByteBufUtil.equals(received, received.readerIndex(), preface, 0, length);
      if (matches && length < preface.readableBytes()) {
        return;
      }
      (matches ? http2Configurer : http1Configurer).accept(context.pipeline());
      context.pipeline().remove(this);
    } finally {
      preface.release();
    }
  }
}
