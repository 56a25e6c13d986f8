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
 * Tells HTTP/2 with prior knowledge from HTTP/1.1 by the first bytes of a connection. Confined to
 * the event loop of its channel.
 */
final class ProtocolDetector extends ByteToMessageDecoder {

  private final Consumer<ChannelPipeline> http1;
  private final Consumer<ChannelPipeline> http2;

  ProtocolDetector(Consumer<ChannelPipeline> http1, Consumer<ChannelPipeline> http2) {
    this.http1 = http1;
    this.http2 = http2;
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
      (matches ? http2 : http1).accept(context.pipeline());
      context.pipeline().remove(this);
    } finally {
      preface.release();
    }
  }
}
