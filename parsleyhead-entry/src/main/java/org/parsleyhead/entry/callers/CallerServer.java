package org.parsleyhead.entry.callers;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.parsleyhead.codec.openai.CompletionRequestParser;
import org.parsleyhead.core.api.Preconditions;

/**
 * Accepts connections of callers: HTTP/1.1 and HTTP/2 with prior knowledge on one port.
 *
 * <p>Thread-safe. After {@link #stopAccepting()} no new connection is accepted; open connections
 * stay open.
 */
public final class CallerServer implements AutoCloseable {

  private static final int MAXIMUM_LINE_BYTES = 8_192;
  private static final int MAXIMUM_STREAMS_PER_CONNECTION = 1_000;
  private static final int LISTEN_BACKLOG = 1_024;

  private final CallerSettings settings;
  private final RequestReader reader;
  private final ExchangeHandler exchangeHandler;
  private final EventLoopGroup acceptors;
  private final EventLoopGroup workers;
  private volatile Channel listener;

  /** Creates a server that is not listening yet. */
  public CallerServer(
      CallerSettings settings,
      CompletionRequestParser completions,
      ExchangeHandler exchangeHandler,
      EventLoopGroup acceptors,
      EventLoopGroup workers) {
    this.settings = Preconditions.requireNonNull(settings, "settings");
    this.reader = new RequestReader(completions);
    this.exchangeHandler = Preconditions.requireNonNull(exchangeHandler, "exchangeHandler");
    this.acceptors = Preconditions.requireNonNull(acceptors, "acceptors");
    this.workers = Preconditions.requireNonNull(workers, "workers");
  }

  /** Starts to listen; throws the exception of the socket if the endpoint cannot be bound. */
  public void start() {
    ServerBootstrap bootstrap = new ServerBootstrap();
    bootstrap.group(acceptors, workers);
    bootstrap.channel(NioServerSocketChannel.class);
    bootstrap.option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG);
    bootstrap.option(ChannelOption.SO_REUSEADDR, true);
    bootstrap.childOption(ChannelOption.TCP_NODELAY, true);
    bootstrap.childHandler(
        initializer(
            pipeline ->
                pipeline.addLast(
                    new HeadTimeoutHandler(settings.receiveTimeout()), protocolDetector())));
    listener =
        bootstrap
            .bind(settings.endpoint().address(), settings.endpoint().port())
            .syncUninterruptibly()
            .channel();
  }

  /** Stops accepting connections. */
  public void stopAccepting() {
    Channel open = listener;
    if (open != null) {
      open.close().syncUninterruptibly();
    }
  }

  @Override
  public void close() {
    stopAccepting();
  }

  private ChannelHandler protocolDetector() {
    return new ProtocolDetector(this::configureHttp1, this::configureHttp2);
  }

  private void configureHttp1(ChannelPipeline pipeline) {
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
            .setMaxHeaderSize(settings.maximumHeaderBytes());
    pipeline.addLast(new StrictRequestDecoder(config), new HttpResponseEncoder());
    pipeline.addLast(new ReceiveTimeoutHandler(settings.receiveTimeout()));
    pipeline.addLast(
        new IdleStateHandler(settings.idleTimeout().toMillis(), 0, 0, TimeUnit.MILLISECONDS));
    pipeline.addLast(new HttpServerKeepAliveHandler());
    pipeline.addLast(new BodyCollector(settings.maximumBodyBytes()));
    pipeline.addLast(new CallerHandler(settings, reader, exchangeHandler));
  }

  private void configureHttp2(ChannelPipeline pipeline) {
    pipeline.remove(HeadTimeoutHandler.class);
    pipeline.addLast(
        Http2FrameCodecBuilder.forServer()
            .initialSettings(
                Http2Settings.defaultSettings()
                    .maxConcurrentStreams(MAXIMUM_STREAMS_PER_CONNECTION)
                    .maxHeaderListSize(settings.maximumHeaderBytes()))
            .build());
    pipeline.addLast(new Http2MultiplexHandler(initializer(this::configureStream)));
  }

  private void configureStream(ChannelPipeline pipeline) {
    pipeline.addLast(new Http2StreamFrameToHttpObjectCodec(true));
    pipeline.addLast(new ReceiveTimeoutHandler(settings.receiveTimeout()));
    pipeline.addLast(new BodyCollector(settings.maximumBodyBytes()));
    pipeline.addLast(new CallerHandler(settings, reader, exchangeHandler));
  }

  private static ChannelInitializer<Channel> initializer(Consumer<ChannelPipeline> configuration) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        configuration.accept(channel.pipeline());
      }
    };
  }
}
