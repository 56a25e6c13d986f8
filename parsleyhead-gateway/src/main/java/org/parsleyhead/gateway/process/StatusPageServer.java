package org.parsleyhead.gateway.process;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.parsleyhead.core.api.Endpoint;

/**
 * Serves pages to the load balancer or to operators, on the event loop of the host.
 *
 * <p>Stateless and thread-safe.
 */
final class StatusPageServer {

  private static final int BACKLOG_CONNECTIONS = 64;

  private StatusPageServer() {}

  /** Opens a port at which each request is answered with the current page. */
  static Channel open(Endpoint endpoint, EventLoopGroup eventLoops, Pages pages) {
    return new ServerBootstrap()
        .group(eventLoops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new HttpServerCodec(), new PageHandler(pages));
              }
            })
        .bind(endpoint.address(), endpoint.port())
        .syncUninterruptibly()
        .channel();
  }

  /** Returns the page for a request; called on the event loop, so it must not block. */
  @FunctionalInterface
  interface Pages {
    Page page(String method, String path);
  }

  /**
   * A page in plain text.
   *
   * @param success whether the status is 200; 503 otherwise
   * @param text the body
   */
  record Page(boolean success, String text) {}

  /** Answers each request with the current page. Confined to the event loop. */
  private static final class PageHandler extends SimpleChannelInboundHandler<HttpRequest> {

    private final Pages pages;

    PageHandler(Pages pages) {
      this.pages = pages;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpRequest request) {
      Page current = pages.page(request.method().name(), request.uri());
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              current.success() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
              Unpooled.copiedBuffer(current.text(), StandardCharsets.UTF_8));
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
          .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
      context.writeAndFlush(response, context.voidPromise());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
