package org.parsleyhead.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;

/**
 * Decides which exclusive rights one host may use and which hosts it considers alive.
 *
 * <p>Stateless apart from its settings and thread-safe. A host never holds a valid attestation from
 * another host that may already claim its rights, even if messages are lost, delayed or duplicated
 * and processes pause or restart.
 */
public final class MembershipTransition
    implements Transition<MembershipState, MembershipEvent, MembershipEffect> {

  private final MembershipSettings settings;
  private final AttestationRules attestations;
  private final FailureDetector detector;

  /** Creates the transition for one process. */
  public MembershipTransition(MembershipSettings settings) {
    this(settings, lastAttested -> lastAttested.plus(settings.bindingDuration()));
  }

  MembershipTransition(MembershipSettings settings, ClaimRule claimRule) {
    this.settings = settings;
    this.attestations = new AttestationRules(settings, claimRule);
    this.detector = new FailureDetector(settings);
  }

  @Override
  public Step<MembershipState, MembershipEffect> apply(
      MembershipState state, MembershipEvent event, MonotonicTime time) {
    List<MembershipEffect> effects = new ArrayList<>();
    MembershipState changed = handle(state, event, time, effects).withCurrentSnapshot();
    if (changed.sequence() != state.sequence()) {
      effects.add(
          0, new MembershipEffect.RightsChanged(changed.sequence(), changed.rightsSnapshot()));
    }
    return new Step<>(changed, effects);
  }

  private MembershipState handle(
      MembershipState state,
      MembershipEvent event,
      MonotonicTime time,
      List<MembershipEffect> effects) {
    if (event instanceof MembershipEvent.Tick tick) {
      return tick(state, tick.randomNumber(), time, effects);
    }
    if (event instanceof MembershipEvent.HostListRead read) {
      return updateHostList(state, read.list());
    }
    if (event instanceof MembershipEvent.MessageReceived received) {
      return receive(state, received, time, effects);
    }
    if (event instanceof MembershipEvent.StopRequested) {
      RightsState stopping = attestations.stop(state.rights(), state.sequence() + 1);
      return completeRelease(
          state, state.withRights(stopping).withCurrentSnapshot(), time, effects);
    }
    MembershipEvent.RightsApplied applied = (MembershipEvent.RightsApplied) event;
    RightsState rights = attestations.recordApplied(state.rights(), applied.sequence());
    return completeRelease(state, state.withRights(rights), time, effects);
  }

  /** Announces the departure once all users of rights have applied the snapshot without rights. */
  private MembershipState completeRelease(
      MembershipState before,
      MembershipState after,
      MonotonicTime time,
      List<MembershipEffect> effects) {
    if (!hasReleased(after) || hasReleased(before)) {
      return after;
    }
    effects.add(new MembershipEffect.RightsReleased());
    return after.withRights(
        attestations.announceDeparture(after.rights(), after.members(), time, effects));
  }

  private static boolean hasReleased(MembershipState state) {
    return state.rights().stopping() && state.rights().appliedSequence() >= state.sequence();
  }

  private MembershipState tick(
      MembershipState state,
      long randomNumber,
      MonotonicTime time,
      List<MembershipEffect> effects) {
    RightsState rights = attestations.expire(state.rights(), time);
    boolean releasing = rights.stopping() && !hasReleased(state);
    if (releasing && !time.isBefore(rights.nextRequestAt())) {
      effects.add(new MembershipEffect.RightsChanged(state.sequence(), state.rightsSnapshot()));
      rights = rights.withRequests(rights.pending(), time.plus(settings.attestationInterval()));
    }
    if (!releasing) {
      rights =
          attestations.request(
              rights, state.hostList(), state.members(), randomNumber, time, effects);
    }
    Step<LivenessState, MembershipEffect> probed =
        detector.tick(state.livenessState(), state.others(), randomNumber, time);
    effects.addAll(probed.effects());
    return state.withRights(rights).withLiveness(probed.state());
  }

  private MembershipState updateHostList(MembershipState state, HostList list) {
    if (list.version() <= state.hostList().version()) {
      return state;
    }
    SortedSet<HostName> after = MembershipState.membersOf(settings, list);
    RightsState rights =
        attestations.changeMembers(state.rights(), state.members(), after, state.sequence() + 1);
    return state.withList(list).withRights(rights);
  }

  private MembershipState receive(
      MembershipState state,
      MembershipEvent.MessageReceived received,
      MonotonicTime time,
      List<MembershipEffect> effects) {
    HostName from = received.sender().host();
    if (from.equals(settings.self()) || state.hostList().find(from).isEmpty()) {
      return state;
    }
    Step<LivenessState, MembershipEffect> detected =
        detector.receive(
            state.livenessState(), state.hostList().hosts().size(), from, received.message(), time);
    effects.addAll(detected.effects());
    MembershipState current = state.withLiveness(detected.state());
    if (received.message() instanceof AttestationRequest request) {
      return answer(current, received.sender(), request, time, effects);
    }
    if (received.message() instanceof DepartureNotice) {
      return current.withRights(attestations.recordDeparture(current.rights(), received.sender()));
    }
    if (received.message() instanceof Attestation attestation) {
      return current.withRights(
          attestations.accept(current.rights(), received.sender(), attestation, time));
    }
    return current;
  }

  private MembershipState answer(
      MembershipState state,
      Sender sender,
      AttestationRequest request,
      MonotonicTime time,
      List<MembershipEffect> effects) {
    Optional<Attestation> answer =
        attestations.answer(state.rights(), state.members(), sender, request, time);
    if (answer.isEmpty()) {
      return state;
    }
    effects.add(new MembershipEffect.Send(sender.host(), answer.get()));
    return state.withRights(attestations.recordIssued(state.rights(), sender, time));
  }
}
