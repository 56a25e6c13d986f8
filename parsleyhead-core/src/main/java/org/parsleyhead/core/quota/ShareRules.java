package org.parsleyhead.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.pcollections.PMap;

/**
 * Decides when a host joins the allocations, installs a new one, and may use its share.
 *
 * <p>Stateless apart from its settings and thread-safe. The shares that all hosts use at any
 * instant never add up to more than the whole; docs/design/quota.md gives the argument and the
 * model.
 */
final class ShareRules {

  private static final int MAXIMUM_TRACKED_ROUNDS = 16;

  private final QuotaSettings settings;
  private final Duration installDelay;
  private final Duration confirmationValidity;

  /**
   * Creates the rules with the delay before a new allocation is installed, after which no host uses
   * the previous one.
   */
  ShareRules(QuotaSettings settings, Duration installDelay) {
    this.settings = settings;
    this.installDelay = installDelay;
    this.confirmationValidity =
        settings.bindingDuration().minus(settings.driftMargin().multipliedBy(2));
  }

  /** Applies a new rights snapshot; a smaller share takes effect immediately. */
  ShareState applyRights(ShareState state, RightsSnapshot rightsSnapshot, MonotonicTime time) {
    boolean newVersion =
        state.rightsSnapshot().isEmpty()
            || state.rightsSnapshot().get().version() < rightsSnapshot.version();
    AllocationView allocations = state.allocations();
    if (newVersion && !rightsSnapshot.members().isEmpty()) {
      allocations =
          allocations.withProposed(
              new ShareAllocation(rightsSnapshot.version(), rightsSnapshot.members()));
    }
    ShareState updated = state.withRightsSnapshot(rightsSnapshot, allocations);
    return newVersion ? updated.withNoticeDue(time).withAgreedSince(Optional.empty()) : updated;
  }

  /** Applies a notice from another host; a repeated or reordered one is ignored. */
  ShareState receiveNotice(ShareState state, Sender sender, QuotaNotice notice) {
    PeerStatus known = state.peers().get(sender.host());
    boolean sameProcess = known != null && known.incarnation().equals(sender.incarnation());
    if (sameProcess && known.round() >= notice.round()) {
      return state;
    }
    Optional<MonotonicTime> confirmed = confirmedAt(state, notice);
    if (confirmed.isEmpty() && sameProcess) {
      confirmed = known.confirmedAt();
    }
    PeerStatus peer =
        new PeerStatus(
            sender.incarnation(), notice.round(), notice.listVersion(), notice.joined(), confirmed);
    ShareState merged =
        state.withPeer(sender.host(), peer, state.allocations().merge(notice.allocations()));
    return sameProcess ? merged : merged.withAgreedSince(Optional.empty());
  }

  /**
   * Installs the latest allocation, joins the known allocations and updates the expiry of the share
   * as far as the rights snapshot and the received notices allow at an instant.
   */
  ShareState advance(ShareState state, MonotonicTime time) {
    if (state.rightsSnapshot().isEmpty()) {
      return state;
    }
    ShareState observed = observeAgreement(state, state.rightsSnapshot().get(), time);
    ShareState installed =
        mayInstall(observed, time)
            ? observed.withJoined(observed.allocations().installLatest())
            : observed;
    ShareState joined =
        mayJoin(installed, time) ? installed.withJoined(installed.allocations()) : installed;
    boolean changed =
        !joined.allocations().equals(state.allocations()) || joined.joined() != state.joined();
    ShareState announced = changed ? joined.withNoticeDue(time) : joined;
    return announced.withUsableUntil(usableUntil(announced, time));
  }

  /** Sends notices to the other members if they are due. */
  ShareState sendNotices(ShareState state, MonotonicTime time, List<QuotaEffect> effects) {
    if (state.rightsSnapshot().isEmpty() || time.isBefore(state.nextNoticeAt())) {
      return state;
    }
    RightsSnapshot rightsSnapshot = state.rightsSnapshot().get();
    for (HostName member : rightsSnapshot.members()) {
      if (!member.equals(settings.self())) {
        effects.add(new QuotaEffect.Send(member, notice(state, rightsSnapshot, member)));
      }
    }
    PMap<Long, MonotonicTime> sent =
        state.roundSentAt().plus(state.round(), time).minus(state.round() - MAXIMUM_TRACKED_ROUNDS);
    return state.withNoticeSent(sent, time.plus(settings.noticeInterval()));
  }

  private static QuotaNotice notice(
      ShareState state, RightsSnapshot rightsSnapshot, HostName member) {
    Optional<QuotaNotice.NoticeIdentifier> acknowledged =
        Optional.ofNullable(state.peers().get(member))
            .map(peer -> new QuotaNotice.NoticeIdentifier(peer.incarnation(), peer.round()));
    return new QuotaNotice(
        state.round(), acknowledged, rightsSnapshot.version(), state.joined(), state.allocations());
  }

  private Optional<MonotonicTime> confirmedAt(ShareState state, QuotaNotice notice) {
    return notice
        .acknowledged()
        .filter(notified -> notified.incarnation().equals(settings.incarnation()))
        .map(notified -> state.roundSentAt().get(notified.round()));
  }

  private ShareState observeAgreement(
      ShareState state, RightsSnapshot rightsSnapshot, MonotonicTime time) {
    boolean agreed =
        rightsSnapshot.members().contains(settings.self())
            && rightsSnapshot.members().stream()
                .filter(member -> !member.equals(settings.self()))
                .allMatch(member -> agrees(state, rightsSnapshot, member, time));
    if (!agreed) {
      return state.withAgreedSince(Optional.empty());
    }
    return state.agreedSince().isPresent() ? state : state.withAgreedSince(Optional.of(time));
  }

  private boolean agrees(
      ShareState state, RightsSnapshot rightsSnapshot, HostName member, MonotonicTime time) {
    PeerStatus peer = state.peers().get(member);
    Long version = rightsSnapshot.attestedVersion().get(member);
    return peer != null
        && version != null
        && version == rightsSnapshot.version()
        && peer.listVersion() == rightsSnapshot.version()
        && attestationExpiry(state, rightsSnapshot, member).filter(time::isBefore).isPresent();
  }

  private boolean mayInstall(ShareState state, MonotonicTime time) {
    Optional<ShareAllocation> latest = state.allocations().latest();
    boolean installed = state.joined() && state.allocations().pending().isEmpty();
    if (installed || state.agreedSince().isEmpty() || latest.isEmpty()) {
      return false;
    }
    boolean startupElapsed = !time.isBefore(state.startedAt().plus(installDelay));
    boolean delayElapsed =
        state.allocations().installed().isEmpty()
            || !time.isBefore(state.agreedSince().get().plus(installDelay));
    return startupElapsed
        && delayElapsed
        && latest.get().members().equals(state.rightsSnapshot().get().members())
        && state.allocations().all().stream()
            .allMatch(
                allocation ->
                    allocation.equals(latest.get()) || allocation.isReplaceableBy(latest.get()));
  }

  private boolean mayJoin(ShareState state, MonotonicTime time) {
    if (state.joined() || state.allocations().installed().isEmpty()) {
      return false;
    }
    return state.allocations().all().stream()
        .allMatch(
            allocation ->
                allocation.members().contains(settings.self())
                    && allocation.isQuorum(countedAttestations(state, allocation, time).keySet()));
  }

  private Optional<MonotonicTime> usableUntil(ShareState state, MonotonicTime time) {
    if (!state.joined()) {
      return Optional.empty();
    }
    Optional<MonotonicTime> earliest = Optional.empty();
    for (ShareAllocation allocation : state.allocations().all()) {
      Optional<MonotonicTime> expiry = quorumExpiry(state, allocation, time);
      if (expiry.isEmpty()) {
        return Optional.empty();
      }
      boolean earlier = earliest.isEmpty() || expiry.get().isBefore(earliest.get());
      earliest = earlier ? expiry : earliest;
    }
    return earliest;
  }

  private Optional<MonotonicTime> quorumExpiry(
      ShareState state, ShareAllocation allocation, MonotonicTime time) {
    Set<HostName> hosts = new TreeSet<>(Set.of(settings.self()));
    if (!allocation.members().contains(settings.self())) {
      return Optional.empty();
    }
    if (allocation.isQuorum(hosts)) {
      return Optional.of(time.plus(settings.bindingDuration()));
    }
    List<Map.Entry<HostName, MonotonicTime>> byExpiry =
        new ArrayList<>(countedAttestations(state, allocation, time).entrySet());
    byExpiry.sort(Map.Entry.comparingByValue(Comparator.reverseOrder()));
    for (Map.Entry<HostName, MonotonicTime> entry : byExpiry) {
      hosts.add(entry.getKey());
      if (allocation.isQuorum(hosts)) {
        return Optional.of(entry.getValue());
      }
    }
    return Optional.empty();
  }

  /** Returns the members whose attestations count for an allocation, with their expiries. */
  private Map<HostName, MonotonicTime> countedAttestations(
      ShareState state, ShareAllocation allocation, MonotonicTime time) {
    RightsSnapshot rightsSnapshot = state.rightsSnapshot().get();
    Map<HostName, MonotonicTime> expiries = new TreeMap<>();
    for (HostName member : allocation.members()) {
      PeerStatus peer = state.peers().get(member);
      boolean joined = peer != null && peer.joined();
      Long version = rightsSnapshot.attestedVersion().get(member);
      if (joined && version != null && version >= allocation.version()) {
        attestationExpiry(state, rightsSnapshot, member)
            .filter(time::isBefore)
            .ifPresent(expiry -> expiries.put(member, expiry));
      }
    }
    return expiries;
  }

  /**
   * Returns the instant until which a member's attestation counts; empty unless it was given under
   * allocations that this host knows.
   */
  private Optional<MonotonicTime> attestationExpiry(
      ShareState state, RightsSnapshot rightsSnapshot, HostName member) {
    PeerStatus peer = state.peers().get(member);
    MonotonicTime attested = rightsSnapshot.attestedUntil().get(member);
    Long version = rightsSnapshot.attestedVersion().get(member);
    if (attested == null
        || version == null
        || peer.confirmedAt().isEmpty()
        || peer.listVersion() < version) {
      return Optional.empty();
    }
    MonotonicTime confirmed = peer.confirmedAt().get().plus(confirmationValidity);
    return Optional.of(confirmed.isBefore(attested) ? confirmed : attested);
  }
}
