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
import org.parsleyhead.core.membership.LivenessState.QueuedUpdate;
import org.parsleyhead.core.membership.LivenessState.Relay;
import org.pcollections.PMap;

/**
 * Decides which hosts are alive, by random probes, indirect probes and suspicion (SWIM).
 *
 * <p>Stateless apart from its settings and thread-safe. Each host probes one host per interval,
 * whatever the size of the fleet, and a message carries a bounded number of liveness updates, so
 * that the load of a host does not grow with the fleet. A pause of this process never makes it
 * suspect other hosts.
 */
final class FailureDetector {

  /** The maximum number of liveness updates in one message. */
  static final int MAXIMUM_UPDATES = 6;

  private static final int INDIRECT_PROBES = 3;
  private static final int MAXIMUM_RELAYS = 64;
  private static final int TRANSMISSIONS_PER_DOUBLING = 3;
  private static final int PAUSE_THRESHOLD_INTERVALS = 2;

  private final MembershipSettings settings;

  FailureDetector(MembershipSettings settings) {
    this.settings = settings;
  }

  static List<LivenessUpdate> boundedCopy(List<LivenessUpdate> updates) {
    Preconditions.require(
        updates.size() <= MAXIMUM_UPDATES, "updates", "must be at most " + MAXIMUM_UPDATES);
    return List.copyOf(updates);
  }

  /** Advances time: handles expired probes and suspicions, and starts the next probe. */
  Step<LivenessState, MembershipEffect> tick(
      LivenessState state, List<HostName> others, long randomNumber, MonotonicTime time) {
    StepContext context = new StepContext(others.size(), time);
    LivenessState current = resetAfterPause(state, time);
    current = retainListed(current, others);
    current = expireRelays(current, time);
    current = checkProbe(current, others, randomNumber, context);
    current = expireSuspicions(current, context);
    current = startProbe(current, others, randomNumber, context);
    return new Step<>(current.withTimes(current.nextProbeAt(), time), context.effects);
  }

  /** Handles a message. Any message shows that its sender is alive. */
  Step<LivenessState, MembershipEffect> receive(
      LivenessState state, int fleetSize, HostName from, PeerMessage message, MonotonicTime time) {
    StepContext context = new StepContext(fleetSize, time);
    LivenessState current = markAlive(state, from, context);
    if (message instanceof Probe probe) {
      current = applyUpdates(current, probe.updates(), context);
      current = send(current, from, probe.nonce(), ProbeAnswer::new, context);
    } else if (message instanceof ProbeAnswer answer) {
      current = applyUpdates(current, answer.updates(), context);
      current = handleAnswer(current, answer.nonce(), context);
    } else if (message instanceof ProbeRelay relay) {
      current = relayProbe(current, from, relay, context);
    }
    return new Step<>(current, context.effects);
  }

  private LivenessState resetAfterPause(LivenessState state, MonotonicTime time) {
    Duration gap = time.since(state.lastTickAt());
    if (gap.compareTo(settings.probeInterval().multipliedBy(PAUSE_THRESHOLD_INTERVALS)) <= 0) {
      return state;
    }
    PMap<HostName, MonotonicTime> since = state.suspectedSince();
    for (HostName host : state.suspectedSince().keySet()) {
      since = since.plus(host, time);
    }
    return state.withProbe(Optional.empty()).withSuspectedSince(since);
  }

  private static LivenessState retainListed(LivenessState state, List<HostName> others) {
    LivenessState current = state;
    for (HostName host : state.latestUpdates().keySet()) {
      if (!others.contains(host)) {
        current =
            new LivenessState(
                current.ownRefutationNumber(),
                current.latestUpdates().minus(host),
                current.suspectedSince().minus(host),
                current.queuedUpdates().minus(host),
                current.probe(),
                current.relays(),
                current.nextProbeAt(),
                current.lastTickAt());
      }
    }
    return current;
  }

  private LivenessState expireRelays(LivenessState state, MonotonicTime time) {
    PMap<Long, Relay> remaining = state.relays();
    for (var entry : state.relays().entrySet()) {
      if (time.since(entry.getValue().sentAt()).compareTo(settings.suspicionTimeout()) > 0) {
        remaining = remaining.minus(entry.getKey());
      }
    }
    return state.withRelays(remaining);
  }

  private LivenessState checkProbe(
      LivenessState state, List<HostName> others, long randomNumber, StepContext context) {
    if (state.probe().isEmpty()) {
      return state;
    }
    OutstandingProbe probe = state.probe().get();
    Duration waited = context.time.since(probe.sentAt());
    if (waited.compareTo(settings.probeTimeout().multipliedBy(2)) >= 0) {
      return suspect(state.withProbe(Optional.empty()), probe.target(), context);
    }
    if (waited.compareTo(settings.probeTimeout()) >= 0 && !probe.relayed()) {
      requestRelays(probe, others, randomNumber, context);
      return state.withProbe(
          Optional.of(new OutstandingProbe(probe.nonce(), probe.target(), probe.sentAt(), true)));
    }
    return state;
  }

  private static void requestRelays(
      OutstandingProbe probe, List<HostName> others, long randomNumber, StepContext context) {
    List<HostName> candidates = new ArrayList<>(others);
    candidates.remove(probe.target());
    for (int index = 0; index < INDIRECT_PROBES && !candidates.isEmpty(); index++) {
      HostName relayHost =
          RandomNumbers.choose(candidates, RandomNumbers.derive(randomNumber, index));
      candidates.remove(relayHost);
      context.send(relayHost, new ProbeRelay(probe.nonce(), probe.target()));
    }
  }

  private static LivenessState suspect(LivenessState state, HostName host, StepContext context) {
    LivenessUpdate known = state.latestUpdate(host);
    if (known.liveness() != Liveness.ALIVE) {
      return state;
    }
    return applyUpdate(
        state, new LivenessUpdate(host, known.refutationNumber(), Liveness.SUSPECTED), context);
  }

  private LivenessState expireSuspicions(LivenessState state, StepContext context) {
    LivenessState current = state;
    for (var entry : state.suspectedSince().entrySet()) {
      if (context.time.since(entry.getValue()).compareTo(settings.suspicionTimeout()) >= 0) {
        long number = state.latestUpdate(entry.getKey()).refutationNumber();
        current =
            applyUpdate(
                current, new LivenessUpdate(entry.getKey(), number, Liveness.FAILED), context);
      }
    }
    return current;
  }

  private LivenessState startProbe(
      LivenessState state, List<HostName> others, long randomNumber, StepContext context) {
    boolean due = !context.time.isBefore(state.nextProbeAt());
    if (!due || state.probe().isPresent() || others.isEmpty()) {
      return state;
    }
    long nonce = RandomNumbers.derive(randomNumber, INDIRECT_PROBES);
    HostName target =
        RandomNumbers.choose(others, RandomNumbers.derive(randomNumber, INDIRECT_PROBES + 1));
    LivenessState probing =
        state
            .withProbe(Optional.of(new OutstandingProbe(nonce, target, context.time, false)))
            .withTimes(context.time.plus(settings.probeInterval()), state.lastTickAt());
    return send(probing, target, nonce, Probe::new, context);
  }

  private LivenessState applyUpdates(
      LivenessState state, List<LivenessUpdate> updates, StepContext context) {
    LivenessState current = state;
    for (LivenessUpdate update : updates) {
      if (update.host().equals(settings.self())) {
        current = refute(current, update, context);
      } else if (update.supersedes(current.latestUpdate(update.host()))) {
        current = applyUpdate(current, update, context);
      }
    }
    return current;
  }

  private LivenessState refute(LivenessState state, LivenessUpdate update, StepContext context) {
    if (update.liveness() == Liveness.ALIVE
        || update.refutationNumber() < state.ownRefutationNumber()) {
      return state.withOwnRefutationNumber(
          Math.max(state.ownRefutationNumber(), update.refutationNumber()));
    }
    long number = update.refutationNumber() + 1;
    LivenessUpdate refutation = new LivenessUpdate(settings.self(), number, Liveness.ALIVE);
    return enqueueUpdate(state.withOwnRefutationNumber(number), refutation, context);
  }

  private static LivenessState applyUpdate(
      LivenessState state, LivenessUpdate update, StepContext context) {
    if (state.latestUpdate(update.host()).liveness() != update.liveness()) {
      context.effects.add(new MembershipEffect.LivenessChanged(update.host(), update.liveness()));
    }
    return enqueueUpdate(state.withUpdate(update, context.time), update, context);
  }

  private static LivenessState enqueueUpdate(
      LivenessState state, LivenessUpdate update, StepContext context) {
    int doublings = Long.SIZE - Long.numberOfLeadingZeros(context.fleetSize);
    QueuedUpdate queued = new QueuedUpdate(update, TRANSMISSIONS_PER_DOUBLING * (1 + doublings));
    return state.withQueuedUpdates(state.queuedUpdates().plus(update.host(), queued));
  }

  private static LivenessState markAlive(LivenessState state, HostName from, StepContext context) {
    boolean probed = state.probe().filter(probe -> probe.target().equals(from)).isPresent();
    LivenessState current = probed ? state.withProbe(Optional.empty()) : state;
    LivenessUpdate known = current.latestUpdate(from);
    if (known.liveness() == Liveness.ALIVE) {
      return current;
    }
    context.effects.add(new MembershipEffect.LivenessChanged(from, Liveness.ALIVE));
    return current.withUpdate(
        new LivenessUpdate(from, known.refutationNumber(), Liveness.ALIVE), context.time);
  }

  private static LivenessState handleAnswer(LivenessState state, long nonce, StepContext context) {
    Optional<OutstandingProbe> probe = state.probe().filter(sent -> sent.nonce() == nonce);
    if (probe.isPresent()) {
      return markAlive(state.withProbe(Optional.empty()), probe.get().target(), context);
    }
    Relay relay = state.relays().get(nonce);
    if (relay == null) {
      return state;
    }
    LivenessState remaining = state.withRelays(state.relays().minus(nonce));
    return send(remaining, relay.requester(), relay.nonce(), ProbeAnswer::new, context);
  }

  private static LivenessState relayProbe(
      LivenessState state, HostName from, ProbeRelay request, StepContext context) {
    if (state.relays().size() >= MAXIMUM_RELAYS) {
      return state;
    }
    long nonce = RandomNumbers.derive(request.nonce(), 0);
    Relay relay = new Relay(from, request.nonce(), context.time);
    LivenessState relaying = state.withRelays(state.relays().plus(nonce, relay));
    return send(relaying, request.target(), nonce, Probe::new, context);
  }

  /**
   * Sends a message with piggybacked updates: first the one about the receiver, if it is not
   * considered alive, then those with the most transmissions remaining.
   */
  private static LivenessState send(
      LivenessState state,
      HostName to,
      long nonce,
      MessageConstructor constructor,
      StepContext context) {
    List<LivenessUpdate> updates = new ArrayList<>();
    LivenessUpdate aboutReceiver = state.latestUpdate(to);
    if (aboutReceiver.liveness() != Liveness.ALIVE) {
      updates.add(aboutReceiver);
    }
    PMap<HostName, QueuedUpdate> queuedUpdates = state.queuedUpdates();
    List<QueuedUpdate> leastSent =
        queuedUpdates.values().stream()
            .filter(queued -> !queued.update().host().equals(to))
            .sorted(
                Comparator.comparingInt(QueuedUpdate::remainingTransmissions)
                    .reversed()
                    .thenComparing(queued -> queued.update().host()))
            .limit(MAXIMUM_UPDATES - updates.size())
            .toList();
    for (QueuedUpdate queued : leastSent) {
      updates.add(queued.update());
      queuedUpdates =
          queued.remainingTransmissions() > 1
              ? queuedUpdates.plus(
                  queued.update().host(),
                  new QueuedUpdate(queued.update(), queued.remainingTransmissions() - 1))
              : queuedUpdates.minus(queued.update().host());
    }
    context.send(to, constructor.create(nonce, updates));
    return state.withQueuedUpdates(queuedUpdates);
  }

  /** Creates a message that carries liveness updates. */
  @FunctionalInterface
  private interface MessageConstructor {
    PeerMessage create(long nonce, List<LivenessUpdate> updates);
  }

  /** The time, the fleet size and the effects of one transition. Confined to one thread. */
  private static final class StepContext {
    private final List<MembershipEffect> effects = new ArrayList<>();
    private final int fleetSize;
    private final MonotonicTime time;

    StepContext(int fleetSize, MonotonicTime time) {
      this.fleetSize = fleetSize;
      this.time = time;
    }

    void send(HostName host, PeerMessage message) {
      effects.add(new MembershipEffect.Send(host, message));
    }
  }
}
