package org.parsleyhead.gateway.process;

import org.parsleyhead.gateway.api.EngineControl;
import org.parsleyhead.gateway.api.HttpDialect;
import org.parsleyhead.gateway.api.PublicationDecoder;
import org.parsleyhead.gateway.api.PublicationSource;

/**
 * The parts of an adapter to a platform.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dialect maps the headers between callers, hosts and instances
 * @param source reads the items that the platform publishes
 * @param decoder decodes these items
 * @param engines sends orders to model servers
 */
public record PlatformAdapter(
    HttpDialect dialect,
    PublicationSource source,
    PublicationDecoder decoder,
    EngineControl engines) {

  /** Creates the adapter to a platform. */
  @FunctionalInterface
  public interface Factory {

    /** Creates the adapter for a host with the given settings. */
    PlatformAdapter create(GatewaySettings settings);
  }
}
