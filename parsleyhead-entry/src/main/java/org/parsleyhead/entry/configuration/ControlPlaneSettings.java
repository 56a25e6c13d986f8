package org.parsleyhead.entry.configuration;

import java.net.URI;
import java.time.Duration;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.membership.MembershipSettings;
import org.parsleyhead.core.ticket.ConfigurationSettings;
import org.parsleyhead.entry.peer.PeerTransportSettings;

/**
 * The settings of all that one host does to act together with others.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the address of the configuration service
 * @param hostListService the address of the host list
 * @param membership the settings of the membership core
 * @param configuration the settings of the configuration core
 * @param transport the settings of the transport
 */
public record ControlPlaneSettings(
    URI service,
    URI hostListService,
    MembershipSettings membership,
    ConfigurationSettings configuration,
    PeerTransportSettings transport) {

  /** Checks that all parts name one host. */
  public ControlPlaneSettings {
    Preconditions.requireNonNull(service, "service");
    Preconditions.requireNonNull(hostListService, "hostListService");
    Preconditions.requireNonNull(membership, "membership");
    Preconditions.requireNonNull(configuration, "configuration");
    Preconditions.requireNonNull(transport, "transport");
    Sender self = new Sender(membership.self(), membership.incarnation());
    Preconditions.require(transport.self().equals(self), "transport", "must name the same run");
    Preconditions.require(
        configuration.self().equals(self.host()), "configuration", "must name the same host");
  }

  /** Returns the settings with the usual numbers. */
  public static ControlPlaneSettings of(
      Sender self,
      Endpoint peerEndpoint,
      FailureDomainName failureDomain,
      URI service,
      URI hostListService,
      Duration attestationDuration) {
    return new ControlPlaneSettings(
        service,
        hostListService,
        MembershipSettings.of(self.host(), self.incarnation())
            .withAttestationDuration(attestationDuration),
        ConfigurationSettings.of(self.host(), failureDomain),
        PeerTransportSettings.of(self, peerEndpoint));
  }
}
