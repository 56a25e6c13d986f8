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
 * The settings of the {@link ControlPlane} of one host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the base URI of the configuration service
 * @param hostListService the base URI of the host list service
 * @param membership the settings of the membership core
 * @param configuration the settings of the configuration core
 * @param transport the settings of the transport between hosts
 */
public record ControlPlaneSettings(
    URI service,
    URI hostListService,
    MembershipSettings membership,
    ConfigurationSettings configuration,
    PeerTransportSettings transport) {

  /** Requires that all parts name the same host and incarnation. */
  public ControlPlaneSettings {
    Preconditions.requireNonNull(service, "service");
    Preconditions.requireNonNull(hostListService, "hostListService");
    Preconditions.requireNonNull(membership, "membership");
    Preconditions.requireNonNull(configuration, "configuration");
    Preconditions.requireNonNull(transport, "transport");
    Sender self = new Sender(membership.self(), membership.incarnation());
    Preconditions.require(
        transport.self().equals(self), "transport", "must name the same incarnation");
    Preconditions.require(
        configuration.self().equals(self.host()), "configuration", "must name the same host");
  }

  /** Returns the default settings with the given identity, addresses and attestation duration. */
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
