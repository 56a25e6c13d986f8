package org.parsleyhead.gateway.upstreams;

import org.parsleyhead.core.dispatch.DispatchEvent;

/** Receives the events of attempts. Called on the event loop; must not block. */
@FunctionalInterface
public interface AttemptListener {

  /** Receives an event of an attempt. */
  void accept(DispatchEvent event);
}
