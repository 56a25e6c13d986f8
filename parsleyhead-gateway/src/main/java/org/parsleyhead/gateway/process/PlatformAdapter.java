package org.parsleyhead.gateway.process;

import org.parsleyhead.gateway.api.HttpDialect;
import org.parsleyhead.gateway.api.EngineControl;
import org.parsleyhead.gateway.api.PublicationDecoder;
import org.parsleyhead.gateway.api.PublicationSource;

/**
 * The parts of an adapter to a platform.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dialect the headers between callers, hosts and instances
 * @param source reads what the platform publishes
 * @param decoder decodes it
 * @param engines gives orders to model servers
 */
public record PlatformAdapter(
    HttpDialect dialect,
    PublicationSource source,
    PublicationDecoder decoder,
    EngineControl engines) {

  /** Creates an adapter. */
  @FunctionalInterface
  public interface Factory {

    /** Creates the adapter of a host. */
    PlatformAdapter create(GatewaySettings settings);
  }
}
