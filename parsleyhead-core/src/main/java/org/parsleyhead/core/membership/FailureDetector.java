package org.parsleyhead.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.membership.LivenessState.OutstandingProbe;
import org.parsleyhead.core.membership.LivenessState.Relay;
import org.parsleyhead.core.membership.LivenessState.Rumour;
import org.pcollections.PMap;

/**
 * Forms opinions on which hosts live, by random probes, indirect probes and suspicion (SWIM).
 *
 * <p>Stateless apart from its settings and thread-safe. Each host probes one host per interval,
 * however many there are, and a message carries a bounded number of opinions, so that the load of a
 * host does not grow with the fleet. A late wake-up of this process counts against nobody.
 */
final class FailureDetector {

  /** The most opinions in one message. */
  static final int MAXIMUM_UPDATES = 6;

  private static final int INDIRECT_PROBES = 3;
  private static final int MAXIMUM_RELAYS = 64;
  private static final int TRANSMISSIONS_PER_DOUBLING = 3;
  private static final int PAUSE_FACTOR = 2;

  private final MembershipSettings settings;

  FailureDetector(MembershipSettings settings) {
    this.settings = settings;
  }

  static List<LivenessUpdate> boundedCopy(List<LivenessUpdate> updates) {
    Preconditions.require(
        updates.size() <= MAXIMUM_UPDATES, "updates", "must be at most " + MAXIMUM_UPDATES);
    return List.copyOf(updates);
  }

  /** Moves time on: closes overdue probes and suspicions, and starts the next probe. */
  Step<LivenessState, MembershipEffect> tick(
      LivenessState state, List<HostName> others, long randomNumber, MonotonicTime time) {
    Work work = new Work(others.size(), time);
    LivenessState current = forgivePause(state, time);
    current = keepOnly(current, others);
    current = dropOldRelays(current, time);
    current = closeProbe(current, others, randomNumber, work);
    current = closeSuspicions(current, work);
    current = startProbe(current, others, randomNumber, work);
    return new Step<>(current.withTimes(current.nextProbe(), time), work.effects);
  }

  /** Takes up a message: its mere arrival shows that the sender lives. */
  Step<LivenessState, MembershipEffect> receive(
      LivenessState state, int fleetSize, HostName from, PeerMessage message, MonotonicTime time) {
    Work work = new Work(fleetSize, time);
    LivenessState current = heardFrom(state, from, work);
    if (message instanceof Probe probe) {
      current = takeUp(current, probe.updates(), work);
      current = send(current, from, probe.nonce(), ProbeAnswer::new, work);
    } else if (message instanceof ProbeAnswer answer) {
      current = takeUp(current, answer.updates(), work);
      current = answered(current, answer.nonce(), work);
    } else if (message instanceof ProbeRelay relay) {
      current = relay(current, from, relay, work);
    }
    return new Step<>(current, work.effects);
  }

  private LivenessState forgivePause(LivenessState state, MonotonicTime time) {
    Duration gap = time.since(state.lastTick());
    if (gap.compareTo(settings.probeInterval().multipliedBy(PAUSE_FACTOR)) <= 0) {
      return state;
    }
    PMap<HostName, MonotonicTime> since = state.suspectedSince();
    for (HostName host : state.suspectedSince().keySet()) {
      since = since.plus(host, time);
    }
    return state.withProbe(Optional.empty()).withSuspicions(since);
  }

  private static LivenessState keepOnly(LivenessState state, List<HostName> others) {
    LivenessState current = state;
    for (HostName host : state.opinions().keySet()) {
      if (!others.contains(host)) {
        current =
            new LivenessState(
                current.ownNumber(),
                current.opinions().minus(host),
                current.suspectedSince().minus(host),
                current.rumours().minus(host),
                current.probe(),
                current.relays(),
                current.nextProbe(),
                current.lastTick());
      }
    }
    return current;
  }

  private LivenessState dropOldRelays(LivenessState state, MonotonicTime time) {
    PMap<Long, Relay> remaining = state.relays();
    for (var entry : state.relays().entrySet()) {
      if (time.since(entry.getValue().sentAt()).compareTo(settings.suspicionTimeout()) > 0) {
        remaining = remaining.minus(entry.getKey());
      }
    }
    return state.withRelays(remaining);
  }

  private LivenessState closeProbe(
      LivenessState state, List<HostName> others, long randomNumber, Work work) {
    if (state.probe().isEmpty()) {
      return state;
    }
    OutstandingProbe probe = state.probe().get();
    Duration waited = work.time.since(probe.sentAt());
    if (waited.compareTo(settings.probeTimeout().multipliedBy(2)) >= 0) {
      return suspect(state.withProbe(Optional.empty()), probe.target(), work);
    }
    if (waited.compareTo(settings.probeTimeout()) >= 0 && !probe.relayed()) {
      askOthers(probe, others, randomNumber, work);
      return state.withProbe(
          Optional.of(new OutstandingProbe(probe.nonce(), probe.target(), probe.sentAt(), true)));
    }
    return state;
  }

  private static void askOthers(
      OutstandingProbe probe, List<HostName> others, long randomNumber, Work work) {
    List<HostName> candidates = new ArrayList<>(others);
    candidates.remove(probe.target());
    for (int index = 0; index < INDIRECT_PROBES && !candidates.isEmpty(); index++) {
      HostName helper = RandomNumbers.choose(candidates, RandomNumbers.derive(randomNumber, index));
      candidates.remove(helper);
      work.send(helper, new ProbeRelay(probe.nonce(), probe.target()));
    }
  }

  private static LivenessState suspect(LivenessState state, HostName host, Work work) {
    LivenessUpdate known = state.opinionOn(host);
    if (known.liveness() != Liveness.ALIVE) {
      return state;
    }
    return adopt(state, new LivenessUpdate(host, known.number(), Liveness.SUSPECTED), work);
  }

  private LivenessState closeSuspicions(LivenessState state, Work work) {
    LivenessState current = state;
    for (var entry : state.suspectedSince().entrySet()) {
      if (work.time.since(entry.getValue()).compareTo(settings.suspicionTimeout()) >= 0) {
        long number = state.opinionOn(entry.getKey()).number();
        current = adopt(current, new LivenessUpdate(entry.getKey(), number, Liveness.FAILED), work);
      }
    }
    return current;
  }

  private LivenessState startProbe(
      LivenessState state, List<HostName> others, long randomNumber, Work work) {
    boolean due = !work.time.isBefore(state.nextProbe());
    if (!due || state.probe().isPresent() || others.isEmpty()) {
      return state;
    }
    long nonce = RandomNumbers.derive(randomNumber, INDIRECT_PROBES);
    HostName target =
        RandomNumbers.choose(others, RandomNumbers.derive(randomNumber, INDIRECT_PROBES + 1));
    LivenessState probing =
        state
            .withProbe(Optional.of(new OutstandingProbe(nonce, target, work.time, false)))
            .withTimes(work.time.plus(settings.probeInterval()), state.lastTick());
    return send(probing, target, nonce, Probe::new, work);
  }

  private LivenessState takeUp(LivenessState state, List<LivenessUpdate> updates, Work work) {
    LivenessState current = state;
    for (LivenessUpdate update : updates) {
      if (update.host().equals(settings.self())) {
        current = contradict(current, update, work);
      } else if (update.supersedes(current.opinionOn(update.host()))) {
        current = adopt(current, update, work);
      }
    }
    return current;
  }

  private LivenessState contradict(LivenessState state, LivenessUpdate update, Work work) {
    if (update.liveness() == Liveness.ALIVE || update.number() < state.ownNumber()) {
      return state.withOwnNumber(Math.max(state.ownNumber(), update.number()));
    }
    long number = update.number() + 1;
    LivenessUpdate contradiction = new LivenessUpdate(settings.self(), number, Liveness.ALIVE);
    return passOn(state.withOwnNumber(number), contradiction, work);
  }

  private static LivenessState adopt(LivenessState state, LivenessUpdate update, Work work) {
    if (state.opinionOn(update.host()).liveness() != update.liveness()) {
      work.effects.add(new MembershipEffect.LivenessChanged(update.host(), update.liveness()));
    }
    return passOn(state.withOpinion(update, work.time), update, work);
  }

  private static LivenessState passOn(LivenessState state, LivenessUpdate update, Work work) {
    int doublings = Long.SIZE - Long.numberOfLeadingZeros(work.fleetSize);
    Rumour rumour = new Rumour(update, TRANSMISSIONS_PER_DOUBLING * (1 + doublings));
    return state.withRumours(state.rumours().plus(update.host(), rumour));
  }

  private static LivenessState heardFrom(LivenessState state, HostName from, Work work) {
    boolean probed = state.probe().filter(probe -> probe.target().equals(from)).isPresent();
    LivenessState current = probed ? state.withProbe(Optional.empty()) : state;
    LivenessUpdate known = current.opinionOn(from);
    if (known.liveness() == Liveness.ALIVE) {
      return current;
    }
    work.effects.add(new MembershipEffect.LivenessChanged(from, Liveness.ALIVE));
    return current.withOpinion(new LivenessUpdate(from, known.number(), Liveness.ALIVE), work.time);
  }

  private static LivenessState answered(LivenessState state, long nonce, Work work) {
    Optional<OutstandingProbe> probe = state.probe().filter(sent -> sent.nonce() == nonce);
    if (probe.isPresent()) {
      return heardFrom(state.withProbe(Optional.empty()), probe.get().target(), work);
    }
    Relay relay = state.relays().get(nonce);
    if (relay == null) {
      return state;
    }
    LivenessState remaining = state.withRelays(state.relays().minus(nonce));
    return send(remaining, relay.requester(), relay.nonce(), ProbeAnswer::new, work);
  }

  private static LivenessState relay(
      LivenessState state, HostName from, ProbeRelay request, Work work) {
    if (state.relays().size() >= MAXIMUM_RELAYS) {
      return state;
    }
    long nonce = RandomNumbers.derive(request.nonce(), 0);
    Relay relay = new Relay(from, request.nonce(), work.time);
    LivenessState relaying = state.withRelays(state.relays().plus(nonce, relay));
    return send(relaying, request.target(), nonce, Probe::new, work);
  }

  /** Sends a message with those opinions that were passed on least; the receiver's own first. */
  private static LivenessState send(
      LivenessState state, HostName to, long nonce, MessageConstructor constructor, Work work) {
    List<LivenessUpdate> updates = new ArrayList<>();
    LivenessUpdate onReceiver = state.opinionOn(to);
    if (onReceiver.liveness() != Liveness.ALIVE) {
      updates.add(onReceiver);
    }
    PMap<HostName, Rumour> rumours = state.rumours();
    List<Rumour> freshest =
        rumours.values().stream()
            .filter(rumour -> !rumour.update().host().equals(to))
            .sorted(
                Comparator.comparingInt(Rumour::remaining)
                    .reversed()
                    .thenComparing(rumour -> rumour.update().host()))
            .limit(MAXIMUM_UPDATES - updates.size())
            .toList();
    for (Rumour rumour : freshest) {
      updates.add(rumour.update());
      rumours =
          rumour.remaining() > 1
              ? rumours.plus(
                  rumour.update().host(), new Rumour(rumour.update(), rumour.remaining() - 1))
              : rumours.minus(rumour.update().host());
    }
    work.send(to, constructor.create(nonce, updates));
    return state.withRumours(rumours);
  }

  /** Creates a message that carries opinions. */
  @FunctionalInterface
  private interface MessageConstructor {
    PeerMessage create(long nonce, List<LivenessUpdate> updates);
  }

  /** Collects the effects of one event; used by one thread for one transition. */
  private static final class Work {
    private final List<MembershipEffect> effects = new ArrayList<>();
    private final int fleetSize;
    private final MonotonicTime time;

    Work(int fleetSize, MonotonicTime time) {
      this.fleetSize = fleetSize;
      this.time = time;
    }

    void send(HostName host, PeerMessage message) {
      effects.add(new MembershipEffect.Send(host, message));
    }
  }
}
