package org.parsleyhead.core.engine;

import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.UpstreamName;

/** What the ownership duty wants done. Implementations are immutable and thread-safe. */
public sealed interface EngineEffect {

  /**
   * Sends a message to a host; one to this host itself goes to its own duties. Grants, refusals,
   * recalls and hints go to the scheduling duty, all others to the ownership duty.
   */
  record Send(HostName host, PeerMessage message) implements EngineEffect {}

  /** Reads what an engine holds and runs; the answer is a report or a failed reading. */
  record ReadEngine(UpstreamName engine) implements EngineEffect {}

  /** Orders an engine to load an adapter; has to be written before an instant or not at all. */
  record LoadAdapter(
      UpstreamName engine,
      long orderNumber,
      AdapterReference adapter,
      long fencingNumber,
      MonotonicTime writeBefore)
      implements EngineEffect {}

  /** Orders an engine to drop an adapter; has to be written before an instant or not at all. */
  record UnloadAdapter(
      UpstreamName engine,
      long orderNumber,
      AdapterReference adapter,
      long fencingNumber,
      MonotonicTime writeBefore)
      implements EngineEffect {}
}
