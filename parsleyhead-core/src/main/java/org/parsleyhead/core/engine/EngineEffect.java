package org.parsleyhead.core.engine;

import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.UpstreamName;

/** The effects of {@link OwnershipTransition}. Implementations are immutable and thread-safe. */
public sealed interface EngineEffect {

  /**
   * Sends a message to a host; a message to this host is delivered locally. Pin grants, pin
   * refusals, pin recalls and engine hints are delivered to the scheduling duty of the receiving
   * host, all others to its ownership duty.
   */
  record Send(HostName host, PeerMessage message) implements EngineEffect {}

  /**
   * Reads the adapters and requests of an engine; answered by {@link EngineEvent.ReportReceived} or
   * {@link EngineEvent.ReadFailed}.
   */
  record ReadEngine(UpstreamName engine) implements EngineEffect {}

  /** Orders an engine to load an adapter; not sent once {@code writeBefore} has passed. */
  record LoadAdapter(
      UpstreamName engine,
      long orderNumber,
      AdapterReference adapter,
      long fencingNumber,
      MonotonicTime writeBefore)
      implements EngineEffect {}

  /** Orders an engine to unload an adapter; not sent once {@code writeBefore} has passed. */
  record UnloadAdapter(
      UpstreamName engine,
      long orderNumber,
      AdapterReference adapter,
      long fencingNumber,
      MonotonicTime writeBefore)
      implements EngineEffect {}
}
