package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.instance.Instance;

/**
 * Decides when this host is a member of the fleet, and which hosts it knows.
 *
 * <p>Immutable and thread-safe. A restarted host has lost its view of the fleet, and one that was
 * out of contact may have been forgotten; neither votes nor claims before it has joined. Invariant:
 * a host joins only after a majority of the members that a member has listed count it, so that no
 * majority of theirs leaves it out unnoticed. A member without contact to a majority of the members
 * ceases to be one well before the others forget it.
 *
 * <p>Without any member the fleet begins again: hosts that reach a majority of those that they
 * know, and have seen no server accept orders of others, become members by themselves. A fleet
 * behind a partition that gives no orders meanwhile is not noticed.
 */
final class MembershipRules {

  private final FleetSettings settings;

  MembershipRules(FleetSettings settings) {
    this.settings = settings;
  }

  /** Ends the membership of a host that was out of contact with a majority for long. */
  Step<FleetState, FleetEffect> expire(FleetState state, MonotonicTime time) {
    Membership membership = state.membership();
    boolean outOfContact =
        membership.known()
            && time.since(membership.majorityAt()).compareTo(contactTimeout()) > 0
            && !state.hosts().isEmpty();
    return outOfContact
        ? Step.of(
            state.withMembership(
                Membership.joining(false, time, time.plus(settings.heartbeatTimeout()))),
            logEvent("membership_lost", "known_hosts=" + state.knownHosts()))
        : Step.of(state);
  }

  /** Records contact with the members; a joining host observes servers, and may begin a fleet. */
  Step<FleetState, FleetEffect> tick(FleetState state, MonotonicTime time) {
    Membership membership = state.membership();
    if (membership.known()) {
      return Step.of(
          hearsMajorities(state)
              ? state.withMembership(membership.withMajorityContact(time))
              : state);
    }
    if (membership.firstStart()) {
      return time.isBefore(membership.since().plus(settings.heartbeatTimeout().multipliedBy(2)))
          ? Step.of(state)
          : become(state, "first_start", time);
    }
    return mayBeginAgain(state, time)
        ? become(state, "no_members", time)
        : requestReports(state, time);
  }

  /** Merges what a heartbeat tells about the members. */
  Step<FleetState, FleetEffect> heartbeatReceived(
      FleetState state, Heartbeat heartbeat, MonotonicTime time) {
    FleetState merged = withReportedHosts(state, heartbeat.hosts(), time);
    Membership membership = merged.membership();
    if (membership.known()) {
      return Step.of(merged);
    }
    if (membership.firstStart()) {
      return heartbeat.membershipKnown() || allSeedsContacted(merged)
          ? become(merged, "first_start", time)
          : Step.of(merged);
    }
    return Step.of(
        heartbeat.membershipKnown() && !heartbeat.hosts().isEmpty()
            ? withoutUnlistedHosts(merged, heartbeat).withMembership(membership.asInformed())
            : merged);
  }

  /** Records that a member counts this host; joins once a majority of the members do. */
  Step<FleetState, FleetEffect> answerReceived(
      FleetState state, HeartbeatAnswer answer, MonotonicTime time) {
    if (answer.knownHosts() == 0) {
      return Step.of(state);
    }
    HostView sender = state.hosts().get(answer.endpoint());
    FleetState next =
        state.withHost(sender.withStanding(sender.standing().withAcknowledgement(time)));
    if (next.membership().known()) {
      return Step.of(next);
    }
    if (answer.newcomer()) {
      next = next.withMembership(next.membership().withNewcomer());
    }
    return next.membership().informed() && acknowledgedByMajority(next)
        ? join(next, time)
        : Step.of(next);
  }

  /** Records the number of orders that a server reports to a joining host. */
  FleetState reportRead(FleetState state, FleetEvent.ReportRead read, MonotonicTime time) {
    Membership membership = state.membership();
    return membership.known()
        ? state
        : state.withMembership(
            membership.withOrders(membership.orders().withReport(read.report(), time)));
  }

  /**
   * Returns whether this host joins and has seen orders of hosts that it is not in contact with.
   */
  boolean contested(FleetState state, MonotonicTime time) {
    return !state.membership().known()
        && state.membership().orders().changedWithin(contactTimeout(), time);
  }

  /**
   * Returns the earliest instant at which this host may vote, as far as it can be foreseen. A
   * joining host that hears a member, or has not had time to, is taken to join soon.
   */
  MonotonicTime voteExpectedAt(FleetState state, MonotonicTime time) {
    Membership membership = state.membership();
    MonotonicTime earliest = state.local().earliestVoteAt();
    boolean joinsSoon =
        time.isBefore(membership.since().plus(settings.heartbeatTimeout()))
            || members(state).stream().anyMatch(HostView::alive);
    MonotonicTime beginsAgainAt = beginsAgainAt(state);
    return membership.known() || joinsSoon || beginsAgainAt.isBefore(earliest)
        ? earliest
        : beginsAgainAt;
  }

  /** Returns whether hosts may be forgotten: not before each one could be heard for long enough. */
  boolean mayForget(FleetState state, MonotonicTime time) {
    return state.membership().known()
        && time.since(state.membership().since()).compareTo(settings.hostRemovalTimeout()) > 0
        && hearsMajorities(state);
  }

  /** Returns how long a member may be out of contact with the majority; others forget it later. */
  private Duration contactTimeout() {
    return settings.hostRemovalTimeout().dividedBy(2);
  }

  /**
   * Returns whether this host hears a majority of the members, and of all hosts: some that are not
   * known as members may have joined since they were last heard.
   */
  private static boolean hearsMajorities(FleetState state) {
    List<HostView> members = members(state);
    long heard = members.stream().filter(HostView::alive).count();
    return (heard + 1) * 2 > members.size() + 1 && hearsMajorityOfHosts(state);
  }

  private static boolean hearsMajorityOfHosts(FleetState state) {
    return state.liveHosts().size() + 1 >= state.majority();
  }

  private static List<HostView> members(FleetState state) {
    return state.hosts().values().stream().filter(host -> host.standing().member()).toList();
  }

  /**
   * Counts only the members that this host exchanges heartbeats with: in a large fleet the hubs.
   */
  private boolean acknowledgedByMajority(FleetState state) {
    boolean hub = state.hubs().contains(settings.self());
    List<HostView> members =
        members(state).stream()
            .filter(host -> hub || state.hubs().contains(host.endpoint()))
            .toList();
    long acknowledged =
        members.stream()
            .filter(host -> !host.standing().acknowledgedAt().isBefore(state.membership().since()))
            .count();
    return acknowledged * 2 > members.size();
  }

  /**
   * Joins the members. A newcomer votes only after the leases have expired that were won before all
   * of them counted it.
   */
  private Step<FleetState, FleetEffect> join(FleetState state, MonotonicTime time) {
    MonotonicTime voteAt = time.plus(settings.voteDuration());
    boolean later =
        state.membership().newcomer() && state.local().earliestVoteAt().isBefore(voteAt);
    FleetState next = later ? state.withLocal(state.local().withEarliestVoteAt(voteAt)) : state;
    return become(next, "acknowledged", time);
  }

  private Step<FleetState, FleetEffect> become(
      FleetState state, String reason, MonotonicTime time) {
    return Step.of(
        state.withMembership(state.membership().joined(time)),
        logEvent("membership_known", "reason=" + reason + " known_hosts=" + state.knownHosts()));
  }

  private boolean mayBeginAgain(FleetState state, MonotonicTime time) {
    boolean others =
        state.hosts().values().stream()
            .anyMatch(
                host -> host.alive() && (host.standing().member() || host.standing().contested()));
    ObservedOrders orders = state.membership().orders();
    boolean quiet =
        state.instances().isEmpty() || orders.observedFor(settings.voteDuration(), time);
    return !others
        && quiet
        && !contested(state, time)
        && hearsMajorityOfHosts(state)
        && !time.isBefore(beginsAgainAt(state));
  }

  /**
   * Returns when a host that hears of no member may begin a fleet: the fewer seeds it reaches, the
   * later, since those that it does not reach may be with the members.
   */
  private MonotonicTime beginsAgainAt(FleetState state) {
    long reached =
        settings.seeds().stream()
            .filter(seed -> seed.equals(settings.self()) || alive(state.hosts().get(seed)))
            .count();
    int seeds = settings.seeds().size();
    Duration delay =
        reached == seeds
            ? settings.voteDuration()
            : reached * 2 > seeds ? contactTimeout() : settings.hostRemovalTimeout();
    return state.membership().since().plus(delay);
  }

  /** Requests the reports of servers; each server is observed by one of the hosts. */
  private Step<FleetState, FleetEffect> requestReports(FleetState state, MonotonicTime time) {
    ObservedOrders orders = state.membership().orders();
    if (time.isBefore(orders.nextRequestAt())) {
      return Step.of(state);
    }
    List<FleetEffect> effects = new ArrayList<>();
    for (Instance instance : state.instances().values()) {
      boolean assigned =
          Rendezvous.first(instance.identifier(), state.hubs())
              .equals(Optional.of(settings.self()));
      if (assigned && state.profile(instance).isPresent()) {
        effects.add(new FleetEffect.RequestReport(instance));
      }
    }
    Membership next =
        state
            .membership()
            .withOrders(orders.withNextRequest(time.plus(settings.heartbeatTimeout())));
    return new Step<>(state.withMembership(next), effects);
  }

  /**
   * Merges the hosts that another host reports; a silent host keeps the time since its last
   * contact.
   */
  private FleetState withReportedHosts(
      FleetState state, Map<String, HostSummary> summaries, MonotonicTime time) {
    FleetState next = state;
    for (Map.Entry<String, HostSummary> host : summaries.entrySet()) {
      HostSummary summary = host.getValue();
      Duration silence = Duration.ofMillis(summary.silenceMilliseconds());
      boolean retained = silence.compareTo(settings.hostRemovalTimeout()) < 0;
      if (retained && !host.getKey().equals(settings.self())) {
        HostView known = next.hosts().get(host.getKey());
        HostView merged =
            known == null
                ? discovered(host.getKey(), summary, time.minus(silence), time)
                : known.withReportedContact(
                    time.minus(silence),
                    silence.compareTo(settings.heartbeatTimeout()) < 0,
                    summary.member());
        next = next.withHost(merged.withCapacity(summary.capacityPercent()));
      }
    }
    return next;
  }

  private static HostView discovered(
      String endpoint, HostSummary summary, MonotonicTime lastSeenAt, MonotonicTime time) {
    return HostView.discovered(endpoint, lastSeenAt)
        .withExchange(HeartbeatExchange.due(time))
        .withStanding(HostStanding.unknown(time).withReport(summary.member(), false));
  }

  /** Removes hosts without contact that a member no longer knows. */
  private FleetState withoutUnlistedHosts(FleetState state, Heartbeat heartbeat) {
    FleetState next = state;
    for (HostView host : state.hosts().values()) {
      boolean listed =
          host.endpoint().equals(heartbeat.endpoint())
              || heartbeat.hosts().containsKey(host.endpoint());
      if (!listed && !host.alive()) {
        next =
            next.withHosts(next.hosts().minus(host.endpoint()))
                .withFormer(
                    next.former()
                        .plus(host.endpoint(), settings.seeds(), state.membership().since()));
      }
    }
    return next;
  }

  private boolean allSeedsContacted(FleetState state) {
    return settings.seeds().stream()
        .filter(seed -> !seed.equals(settings.self()))
        .map(state.hosts()::get)
        .allMatch(host -> host != null && host.incarnations().heard());
  }

  private static boolean alive(HostView host) {
    return host != null && host.alive();
  }

  private FleetEffect logEvent(String event, String detail) {
    return new FleetEffect.LogEvent(event, settings.self(), Optional.of(detail));
  }
}
