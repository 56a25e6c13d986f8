package org.parsleyhead.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.parsleyhead.runtime.duty.MonotonicClock;

/**
 * A caller connection and the corresponding connection to the target.
 *
 * <p>Confined to the event loop that both connections use, except for {@link #applyFault}, which
 * may be called from any thread.
 */
final class ProxyConnection {

  private final Channel caller;
  private final MonotonicClock clock;
  private Channel target;
  private DirectionState toTarget;
  private DirectionState toCaller;

  ProxyConnection(Channel caller, ProxyFault fault, MonotonicClock clock) {
    this.caller = caller;
    this.clock = clock;
    this.toTarget = DirectionState.initial(fault.toTarget(), clock.now());
    this.toCaller = DirectionState.initial(fault.toCaller(), clock.now());
  }

  /** Starts forwarding after the connection to the target has been opened. */
  void targetConnected(Channel targetChannel) {
    target = targetChannel;
    if (caller.isActive()) {
      updateAutoRead();
    } else {
      callerClosed();
    }
  }

  /** Applies another fault to both directions. */
  void applyFault(ProxyFault fault) {
    caller.eventLoop().execute(() -> applyFaultOnEventLoop(fault));
  }

  /** Forwards, delays or drops bytes received from the caller. */
  void receiveFromCaller(ByteBuf bytes) {
    DirectionState.Decision decision = toTarget.decide(bytes.readableBytes(), clock.now());
    toTarget = decision.state();
    forward(decision, bytes, target);
  }

  /** Forwards, delays or drops bytes received from the target. */
  void receiveFromTarget(ByteBuf bytes) {
    DirectionState.Decision decision = toCaller.decide(bytes.readableBytes(), clock.now());
    toCaller = decision.state();
    forward(decision, bytes, caller);
  }

  /** Closes the connection to the target, if the fault forwards the close. */
  void callerClosed() {
    if (target != null && toTarget.fault().forwardsClose()) {
      closeAfterPendingBytes(target, toTarget);
    }
  }

  /** Closes the connection to the caller, if the fault forwards the close. */
  void targetClosed() {
    if (toCaller.fault().forwardsClose()) {
      closeAfterPendingBytes(caller, toCaller);
    }
  }

  private void applyFaultOnEventLoop(ProxyFault fault) {
    toTarget = toTarget.withFault(fault.toTarget());
    toCaller = toCaller.withFault(fault.toCaller());
    if (fault.cut()) {
      reset();
    } else {
      updateAutoRead();
      forwardMissedCloses();
    }
  }

  private void forwardMissedCloses() {
    if (target != null && !target.isActive()) {
      targetClosed();
    }
    if (!caller.isActive()) {
      callerClosed();
    }
  }

  private void updateAutoRead() {
    if (target != null) {
      caller.config().setAutoRead(toTarget.isReading());
      target.config().setAutoRead(toCaller.isReading());
    }
  }

  private void forward(DirectionState.Decision decision, ByteBuf bytes, Channel destination) {
    ByteBuf forwarded = bytes.readRetainedSlice(decision.forwardedLength());
    bytes.release();
    runAfter(
        decision.delay(),
        () -> {
          destination.writeAndFlush(forwarded);
          if (decision.reset()) {
            reset();
          }
        });
  }

  private void closeAfterPendingBytes(Channel channel, DirectionState state) {
    Duration delay = state.lastDeliveryTime().since(clock.now());
    runAfter(
        delay.isNegative() ? Duration.ZERO : delay,
        () ->
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE));
  }

  private void runAfter(Duration delay, Runnable action) {
    if (delay.isZero()) {
      action.run();
    } else {
      caller.eventLoop().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  private void reset() {
    reset(caller);
    if (target != null) {
      reset(target);
    }
  }

  private static void reset(Channel channel) {
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }
}
