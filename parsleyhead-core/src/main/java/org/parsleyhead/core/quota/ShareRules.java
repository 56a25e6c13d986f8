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
import org.parsleyhead.core.membership.Standing;
import org.pcollections.PMap;

/**
 * The rules by which a host takes up, uses and changes its share.
 *
 * <p>Stateless apart from its settings and thread-safe. The shares that all hosts use at one
 * instant never exceed the whole; docs/design/quota.md gives the argument and the model.
 */
final class ShareRules {

  private static final int REMEMBERED_ROUNDS = 16;

  private final QuotaSettings settings;
  private final Duration installWait;
  private final Duration confirmation;

  /** Creates the rules with the time that a cut waits until the former one is out of use. */
  ShareRules(QuotaSettings settings, Duration installWait) {
    this.settings = settings;
    this.installWait = installWait;
    this.confirmation = settings.bindingDuration().minus(settings.driftMargin().multipliedBy(2));
  }

  /** Takes up a new standing: a smaller share is in force at once. */
  ShareState hear(ShareState state, Standing standing, MonotonicTime time) {
    boolean newVersion =
        state.standing().isEmpty() || state.standing().get().version() < standing.version();
    CutView cuts = state.cuts();
    if (newVersion && !standing.members().isEmpty()) {
      cuts = cuts.hear(new Cut(standing.version(), standing.members()));
    }
    ShareState heard = state.withStanding(standing, cuts);
    return newVersion ? heard.withNoticeDue(time).withAlikeSince(Optional.empty()) : heard;
  }

  /** Takes up a notice of another host. */
  ShareState merge(ShareState state, Sender sender, QuotaNotice notice) {
    Peer known = state.peers().get(sender.host());
    boolean sameRun = known != null && known.incarnation().equals(sender.incarnation());
    if (sameRun && known.round() >= notice.round()) {
      return state;
    }
    Optional<MonotonicTime> confirmed = confirmation(state, notice);
    if (confirmed.isEmpty() && sameRun) {
      confirmed = known.confirmedAt();
    }
    Peer peer =
        new Peer(
            sender.incarnation(),
            notice.round(),
            notice.listVersion(),
            notice.entered(),
            confirmed);
    ShareState merged = state.withPeer(sender.host(), peer, state.cuts().merge(notice.cuts()));
    return sameRun ? merged : merged.withAlikeSince(Optional.empty());
  }

  /** Applies what follows from the standing and the notices at an instant. */
  ShareState advance(ShareState state, MonotonicTime time) {
    if (state.standing().isEmpty()) {
      return state;
    }
    ShareState observed = observeAlike(state, state.standing().get(), time);
    ShareState installed =
        mayInstall(observed, time)
            ? observed.withEntered(observed.cuts().installLatest())
            : observed;
    ShareState taken =
        mayEnter(installed, time) ? installed.withEntered(installed.cuts()) : installed;
    boolean changed = !taken.cuts().equals(state.cuts()) || taken.entered() != state.entered();
    ShareState announced = changed ? taken.withNoticeDue(time) : taken;
    return announced.withRightUntil(rightUntil(announced, time));
  }

  /** Adds the notices to the other members, if they are due. */
  ShareState notify(ShareState state, MonotonicTime time, List<QuotaEffect> effects) {
    if (state.standing().isEmpty() || time.isBefore(state.nextNoticeAt())) {
      return state;
    }
    Standing standing = state.standing().get();
    for (HostName member : standing.members()) {
      if (!member.equals(settings.self())) {
        effects.add(new QuotaEffect.Send(member, notice(state, standing, member)));
      }
    }
    PMap<Long, MonotonicTime> sent =
        state.rounds().plus(state.round(), time).minus(state.round() - REMEMBERED_ROUNDS);
    return state.withNotice(sent, time.plus(settings.noticeInterval()));
  }

  private static QuotaNotice notice(ShareState state, Standing standing, HostName member) {
    Optional<QuotaNotice.Echo> echo =
        Optional.ofNullable(state.peers().get(member))
            .map(peer -> new QuotaNotice.Echo(peer.incarnation(), peer.round()));
    return new QuotaNotice(state.round(), echo, standing.version(), state.entered(), state.cuts());
  }

  private Optional<MonotonicTime> confirmation(ShareState state, QuotaNotice notice) {
    return notice
        .echo()
        .filter(echo -> echo.incarnation().equals(settings.incarnation()))
        .map(echo -> state.rounds().get(echo.round()));
  }

  private ShareState observeAlike(ShareState state, Standing standing, MonotonicTime time) {
    boolean alike =
        standing.members().contains(settings.self())
            && standing.members().stream()
                .filter(member -> !member.equals(settings.self()))
                .allMatch(member -> actsAlike(state, standing, member, time));
    if (!alike) {
      return state.withAlikeSince(Optional.empty());
    }
    return state.alikeSince().isPresent() ? state : state.withAlikeSince(Optional.of(time));
  }

  private boolean actsAlike(
      ShareState state, Standing standing, HostName member, MonotonicTime time) {
    Peer peer = state.peers().get(member);
    Long version = standing.attestedVersion().get(member);
    return peer != null
        && version != null
        && version == standing.version()
        && peer.listVersion() == standing.version()
        && countedUntil(state, standing, member).filter(time::isBefore).isPresent();
  }

  private boolean mayInstall(ShareState state, MonotonicTime time) {
    Optional<Cut> latest = state.cuts().latest();
    boolean installed = state.entered() && state.cuts().pending().isEmpty();
    if (installed || state.alikeSince().isEmpty() || latest.isEmpty()) {
      return false;
    }
    boolean started = !time.isBefore(state.startedAt().plus(installWait));
    boolean waited =
        state.cuts().base().isEmpty() || !time.isBefore(state.alikeSince().get().plus(installWait));
    return started
        && waited
        && latest.get().members().equals(state.standing().get().members())
        && state.cuts().all().stream()
            .allMatch(cut -> cut.equals(latest.get()) || cut.isReplaceableBy(latest.get()));
  }

  private boolean mayEnter(ShareState state, MonotonicTime time) {
    if (state.entered() || state.cuts().base().isEmpty()) {
      return false;
    }
    return state.cuts().all().stream()
        .allMatch(
            cut ->
                cut.members().contains(settings.self())
                    && cut.isQuorum(counted(state, cut, time).keySet()));
  }

  private Optional<MonotonicTime> rightUntil(ShareState state, MonotonicTime time) {
    if (!state.entered()) {
      return Optional.empty();
    }
    Optional<MonotonicTime> earliest = Optional.empty();
    for (Cut cut : state.cuts().all()) {
      Optional<MonotonicTime> until = quorumUntil(state, cut, time);
      if (until.isEmpty()) {
        return Optional.empty();
      }
      boolean earlier = earliest.isEmpty() || until.get().isBefore(earliest.get());
      earliest = earlier ? until : earliest;
    }
    return earliest;
  }

  private Optional<MonotonicTime> quorumUntil(ShareState state, Cut cut, MonotonicTime time) {
    Set<HostName> hosts = new TreeSet<>(Set.of(settings.self()));
    if (!cut.members().contains(settings.self())) {
      return Optional.empty();
    }
    if (cut.isQuorum(hosts)) {
      return Optional.of(time.plus(settings.bindingDuration()));
    }
    List<Map.Entry<HostName, MonotonicTime>> byEnd =
        new ArrayList<>(counted(state, cut, time).entrySet());
    byEnd.sort(Map.Entry.comparingByValue(Comparator.reverseOrder()));
    for (Map.Entry<HostName, MonotonicTime> entry : byEnd) {
      hosts.add(entry.getKey());
      if (cut.isQuorum(hosts)) {
        return Optional.of(entry.getValue());
      }
    }
    return Optional.empty();
  }

  /** Returns the other members whose attestations count for a cut, with their ends. */
  private Map<HostName, MonotonicTime> counted(ShareState state, Cut cut, MonotonicTime time) {
    Standing standing = state.standing().get();
    Map<HostName, MonotonicTime> counted = new TreeMap<>();
    for (HostName member : cut.members()) {
      Peer peer = state.peers().get(member);
      boolean entered = peer != null && peer.entered();
      Long version = standing.attestedVersion().get(member);
      if (entered && version != null && version >= cut.version()) {
        countedUntil(state, standing, member)
            .filter(time::isBefore)
            .ifPresent(until -> counted.put(member, until));
      }
    }
    return counted;
  }

  /** Returns until when an attestation counts that was given under cuts that this host knows. */
  private Optional<MonotonicTime> countedUntil(
      ShareState state, Standing standing, HostName member) {
    Peer peer = state.peers().get(member);
    MonotonicTime attested = standing.attestedUntil().get(member);
    Long version = standing.attestedVersion().get(member);
    if (attested == null
        || version == null
        || peer.confirmedAt().isEmpty()
        || peer.listVersion() < version) {
      return Optional.empty();
    }
    MonotonicTime confirmed = peer.confirmedAt().get().plus(confirmation);
    return Optional.of(confirmed.isBefore(attested) ? confirmed : attested);
  }
}
