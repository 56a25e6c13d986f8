package org.parsleyhead.gateway.callers;

import io.netty.channel.ChannelFuture;

/** The connection of an exchange, as the exchange uses it. Confined to the event loop. */
interface ExchangeConnection {

  /** Returns whether the connection ends with the response of the current exchange. */
  boolean closesAfterResponse();

  /** Closes the connection once all requests that it has taken are answered. */
  void closeWhenAnswered();

  /**
   * The response has ended.
   *
   * @param written completes when its last byte was written to the socket, or cannot be any more
   */
  void responseEnded(ChannelFuture written);

  /** The response cannot be completed. */
  void responseAborted();
}
