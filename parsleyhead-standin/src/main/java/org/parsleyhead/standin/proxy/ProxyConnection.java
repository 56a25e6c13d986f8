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
 * A connection of a caller and the one to the target that belongs to it.
 *
 * <p>Confined to one event loop, on which both connections run; {@link #switchTo} may be called
 * from any thread.
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

  /** Begins to pass bytes on, once the connection to the target is open. */
  void joined(Channel targetChannel) {
    target = targetChannel;
    if (caller.isActive()) {
      applyReading();
    } else {
      callerClosed();
    }
  }

  /** Puts another fault in force. */
  void switchTo(ProxyFault fault) {
    caller.eventLoop().execute(() -> switchOnLoop(fault));
  }

  /** Passes on, drops or delays bytes from the caller. */
  void fromCaller(ByteBuf bytes) {
    DirectionState.Decision decision = toTarget.decide(bytes.readableBytes(), clock.now());
    toTarget = decision.state();
    carryOut(decision, bytes, target);
  }

  /** Passes on, drops or delays bytes from the target. */
  void fromTarget(ByteBuf bytes) {
    DirectionState.Decision decision = toCaller.decide(bytes.readableBytes(), clock.now());
    toCaller = decision.state();
    carryOut(decision, bytes, caller);
  }

  /** Ends the connection to the target, if the fault lets the end through. */
  void callerClosed() {
    if (target != null && toTarget.fault().passesEnd()) {
      closeLater(target, toTarget);
    }
  }

  /** Ends the connection of the caller, if the fault lets the end through. */
  void targetClosed() {
    if (toCaller.fault().passesEnd()) {
      closeLater(caller, toCaller);
    }
  }

  private void switchOnLoop(ProxyFault fault) {
    toTarget = toTarget.under(fault.toTarget());
    toCaller = toCaller.under(fault.toCaller());
    if (fault.cut()) {
      reset();
    } else {
      applyReading();
      passMissedEnds();
    }
  }

  private void passMissedEnds() {
    if (target != null && !target.isActive()) {
      targetClosed();
    }
    if (!caller.isActive()) {
      callerClosed();
    }
  }

  private void applyReading() {
    if (target != null) {
      caller.config().setAutoRead(toTarget.reads());
      target.config().setAutoRead(toCaller.reads());
    }
  }

  private void carryOut(DirectionState.Decision decision, ByteBuf bytes, Channel destination) {
    ByteBuf passed = bytes.readRetainedSlice(decision.length());
    bytes.release();
    later(
        decision.delay(),
        () -> {
          destination.writeAndFlush(passed);
          if (decision.reset()) {
            reset();
          }
        });
  }

  private void closeLater(Channel channel, DirectionState state) {
    Duration delay = state.lastDue().since(clock.now());
    later(
        delay.isNegative() ? Duration.ZERO : delay,
        () ->
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE));
  }

  private void later(Duration delay, Runnable action) {
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
