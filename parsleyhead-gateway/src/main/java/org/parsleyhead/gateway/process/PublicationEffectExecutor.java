package org.parsleyhead.gateway.process;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.fleet.FleetEvent;
import org.parsleyhead.core.fleet.PublicationUpdate;
import org.parsleyhead.core.fleet.PublicationUpdateRequest;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.publication.PublicationEffect;
import org.parsleyhead.core.publication.PublicationEvent;
import org.parsleyhead.core.publication.PublishedItem;
import org.parsleyhead.gateway.api.DecodedItem;
import org.parsleyhead.gateway.api.PublicationDecoder;
import org.parsleyhead.gateway.api.PublicationSource;
import org.parsleyhead.gateway.peers.PeerSockets;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Executes the effects of the publication duty: reads from the platform, exchanges updates with
 * other hosts, and distributes changes to the other duties.
 *
 * <p>Confined to the publication duty.
 */
final class PublicationEffectExecutor implements Consumer<PublicationEffect> {

  private static final EventLog LOG = new EventLog("publication");

  private final String self;
  private final PublicationSource source;
  private final PublicationDecoder decoder;
  private final PeerSockets peers;
  private final Ring<PublicationEvent> publication;
  private final EventSender<DispatchEvent> dispatch;
  private final EventSender<FleetEvent> fleet;
  private final GatewayMetrics metrics;
  private final AnnouncementLog announcements = new AnnouncementLog(LOG);

  PublicationEffectExecutor(
      String self,
      PublicationSource source,
      PublicationDecoder decoder,
      PeerSockets peers,
      Ring<PublicationEvent> publication,
      EventSender<DispatchEvent> dispatch,
      EventSender<FleetEvent> fleet,
      GatewayMetrics metrics) {
    this.self = self;
    this.source = source;
    this.decoder = decoder;
    this.peers = peers;
    this.publication = publication;
    this.dispatch = dispatch;
    this.fleet = fleet;
    this.metrics = metrics;
  }

  @Override
  public void accept(PublicationEffect effect) {
    if (effect instanceof PublicationEffect.ReadPage page) {
      metrics.publicationRead("page");
      source.readPage(page.readNumber(), page.connection(), page.afterKey(), publication::offer);
    } else if (effect instanceof PublicationEffect.Watch watch) {
      metrics.publicationRead("watch");
      source.watch(
          watch.readNumber(),
          watch.connection(),
          watch.afterRevision(),
          watch.timeout(),
          publication::offer);
    } else if (effect instanceof PublicationEffect.Changed changed) {
      distributeChanges(changed);
    } else if (effect instanceof PublicationEffect.SendUpdate update) {
      peers.send(
          update.host(),
          new PublicationUpdate(
              update.era(),
              update.items(),
              update.afterRevision(),
              update.revision(),
              update.former()));
    } else if (effect instanceof PublicationEffect.RequestUpdate request) {
      peers.send(
          request.host(),
          new PublicationUpdateRequest(self, request.era(), request.afterRevision()));
    } else if (effect instanceof PublicationEffect.Ignored ignored) {
      logIgnored(ignored);
    } else if (effect instanceof PublicationEffect.PlatformSilent silent) {
      LOG.warning(
          "platform_silent",
          "silent_ms",
          silent.silence().toMillis(),
          "revision",
          silent.revision());
    } else if (effect instanceof PublicationEffect.Reachability reachability) {
      logReachability(reachability);
    } else {
      StoreEraLog.log(LOG, effect);
    }
  }

  private static void logReachability(PublicationEffect.Reachability reachability) {
    if (reachability.reachable()) {
      LOG.info(
          "platform_regained",
          "reason",
          reachability.reason(),
          "silent_ms",
          reachability.silence().toMillis(),
          "revision",
          reachability.revision());
    } else {
      LOG.warning(
          "platform_lost",
          "reason",
          reachability.reason(),
          "silent_ms",
          reachability.silence().toMillis(),
          "revision",
          reachability.revision());
    }
  }

  private static void logIgnored(PublicationEffect.Ignored ignored) {
    PublishedItem first = ignored.items().get(0);
    LOG.info(
        "items_ignored",
        "reason",
        "not in the complete copy",
        "count",
        ignored.items().size(),
        "first_key",
        first.key(),
        "first_revision",
        first.revision(),
        "heard_from",
        ignored.source(),
        "complete_to",
        ignored.revision());
  }

  private void distributeChanges(PublicationEffect.Changed changed) {
    List<Instance> announced = new ArrayList<>();
    for (PublishedItem item : changed.items()) {
      DecodedItem decoded = decoder.decode(item);
      if (decoded instanceof DecodedItem.Evacuation evacuation) {
        // An announcement that was written before an evacuation ended must not count as newer.
        distributeAnnounced(announced);
        announced.clear();
        distribute(evacuation, item, changed);
      } else if (decoded instanceof DecodedItem.Announcement announcement) {
        announced.add(announcement.instance());
        announcements.announced(announcement.instance(), item.revision(), changed.source());
      } else {
        distribute(decoded, item, changed);
      }
    }
    distributeAnnounced(announced);
  }

  private void distributeAnnounced(List<Instance> announced) {
    if (!announced.isEmpty()) {
      dispatch.send(new DispatchEvent.InstancesAnnounced(List.copyOf(announced)));
      fleet.send(new FleetEvent.InstancesAnnounced(List.copyOf(announced)));
    }
  }

  private void distribute(
      DecodedItem.Evacuation evacuation, PublishedItem item, PublicationEffect.Changed changed) {
    long instances = announcements.instancesIn(evacuation.domain());
    LOG.warning(
        "evacuation",
        "domain",
        evacuation.domain(),
        "evacuated",
        evacuation.evacuated(),
        "known_instances",
        instances,
        "outcome",
        instances == 0 ? "no effect until a server of this domain is announced" : "in force",
        "value",
        evacuation.readable() ? "valid" : "unreadable, treated as {}",
        "revision",
        item.revision(),
        "heard_from",
        changed.source(),
        "silent_ms",
        changed.platformSilence().toMillis());
    dispatch.send(new DispatchEvent.EvacuationChanged(evacuation.domain(), evacuation.evacuated()));
  }

  private void distribute(
      DecodedItem decoded, PublishedItem item, PublicationEffect.Changed changed) {
    String itemSource = changed.source();
    if (decoded instanceof DecodedItem.Catalogue catalogue) {
      LOG.info(
          "catalogue",
          "version",
          catalogue.catalogue().version(),
          "revision",
          item.revision(),
          "heard_from",
          itemSource,
          "silent_ms",
          changed.platformSilence().toMillis());
      dispatch.send(new DispatchEvent.CatalogueChanged(catalogue.catalogue()));
      fleet.send(new FleetEvent.CatalogueChanged(catalogue.catalogue()));
    } else if (decoded instanceof DecodedItem.Removal removal) {
      LOG.info(
          "instance_removed",
          "instance",
          removal.identifier(),
          "revision",
          item.revision(),
          "heard_from",
          itemSource);
      announcements.removed(removal.identifier());
      dispatch.send(new DispatchEvent.InstanceRemoved(removal.identifier()));
      fleet.send(new FleetEvent.InstanceRemoved(removal.identifier()));
    } else if (decoded instanceof DecodedItem.AdapterVersion version) {
      LOG.info(
          "adapter_version",
          "adapter",
          version.adapter(),
          "version",
          version.version(),
          "revision",
          item.revision(),
          "outcome",
          "older versions are no longer used");
      dispatch.send(new DispatchEvent.VersionDeclared(version.adapter(), version.version()));
      fleet.send(new FleetEvent.VersionDeclared(version.adapter(), version.version()));
    } else if (decoded instanceof DecodedItem.Ignored ignored) {
      LOG.warning(
          "item_ignored",
          "key",
          ignored.key(),
          "revision",
          item.revision(),
          "reason",
          ignored.reason());
    }
  }
}
