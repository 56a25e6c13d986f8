package org.parsleyhead.core.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.membership.Standing;

/** One process with a quota core, its own clock and a simple source of attestations. */
final class FakeHost {

  static final double FASTEST_DRIFT = 0.0002;

  private static final Duration ATTESTATION = Duration.ofSeconds(10);
  private static final Duration MARGIN = Duration.ofMillis(200);
  private static final long TICK = 100 * FakeFleet.MILLISECOND;

  final FakeFleet fleet;
  final HostName name;
  int side;
  boolean running;
  QuotaState state;
  private final double drift;
  private final long offset;
  private QuotaTransition transition;
  private Incarnation incarnation;
  private long pausedUntil;
  private boolean listsIgnored;
  private long listVersion;
  private SortedSet<HostName> members = new TreeSet<>();
  private MonotonicTime startedAt;
  private long nextNonce;
  private long ticks;
  private long standings;
  private final Map<Long, Asked> asked = new HashMap<>();
  private final Map<HostName, MonotonicTime> attestedUntil = new HashMap<>();
  private final Map<HostName, Long> attestedVersion = new HashMap<>();
  private final Map<HostName, Given> given = new HashMap<>();
  private final Map<RequestIdentifier, Running> requests = new HashMap<>();

  FakeHost(FakeFleet fleet, HostName name) {
    this.fleet = fleet;
    this.name = name;
    this.drift = fleet.random.nextDouble() * FASTEST_DRIFT;
    this.offset = fleet.random.nextInt();
  }

  Sender sender() {
    return new Sender(name, incarnation);
  }

  /** Starts a process that remembers nothing; a running one is replaced. */
  void start() {
    running = true;
    pausedUntil = 0;
    incarnation = new Incarnation(fleet.random.nextLong() >>> 1);
    transition = fleet.transitions.apply(QuotaSettings.of(name, incarnation), fleet.policy);
    startedAt = clock();
    state = QuotaState.initial(startedAt);
    asked.clear();
    attestedUntil.clear();
    attestedVersion.clear();
    given.clear();
    requests.clear();
    listVersion = 0;
    Incarnation started = incarnation;
    act(started, () -> readLimits(fleet.limits));
    long version = fleet.listVersion;
    SortedSet<HostName> listed = fleet.listed;
    act(started, () -> readList(version, listed));
    fleet.after((long) (fleet.random.nextDouble() * TICK), () -> tick(started));
  }

  void stop() {
    running = false;
  }

  void pause(long duration) {
    pausedUntil = fleet.now + duration;
  }

  boolean isPaused() {
    return fleet.now < pausedUntil;
  }

  /** Makes this host go on with the list that it has. */
  void ignoreLists() {
    listsIgnored = true;
  }

  void readList(long version, SortedSet<HostName> listed) {
    act(
        incarnation,
        () -> {
          if (version > listVersion && !listsIgnored) {
            listVersion = version;
            members = listed;
            stand();
          }
        });
  }

  void readLimits(Limits limits) {
    act(incarnation, () -> apply(new QuotaEvent.LimitsDeclared(FakeFleet.ACCOUNT, limits)));
  }

  void reserve(RequestIdentifier request, long tokens, long used, long duration) {
    act(
        incarnation,
        () -> {
          requests.put(request, new Running(tokens, used, duration));
          apply(new QuotaEvent.Reserve(request, FakeFleet.ACCOUNT, tokens));
        });
  }

  void deliver(Sender sender, Object message) {
    act(
        incarnation,
        () -> {
          if (message instanceof Ask ask) {
            answer(sender, ask);
          } else if (message instanceof Answer answer) {
            count(sender, answer);
          } else {
            apply(new QuotaEvent.MessageReceived(sender, (PeerMessage) message));
          }
        });
  }

  private void act(Incarnation process, Runnable action) {
    if (!running || !process.equals(incarnation)) {
      return;
    }
    if (fleet.now < pausedUntil) {
      fleet.at(pausedUntil, () -> act(process, action));
    } else {
      action.run();
    }
  }

  private void tick(Incarnation process) {
    act(
        process,
        () -> {
          if (ticks++ % 10 == 0) {
            askAll();
          }
          apply(new QuotaEvent.Tick());
          fleet.after(TICK, () -> tick(process));
        });
  }

  private void askAll() {
    for (HostName member : members) {
      if (!member.equals(name)) {
        long nonce = nextNonce++;
        asked.put(nonce, new Asked(member, clock()));
        fleet.send(this, member, new Ask(nonce));
      }
    }
  }

  private void answer(Sender sender, Ask ask) {
    MonotonicTime time = clock();
    Given last = given.get(sender.host());
    Duration binding = ATTESTATION.plus(MARGIN);
    boolean free = !time.isBefore(startedAt.plus(binding));
    boolean bound =
        last != null
            && !last.incarnation().equals(sender.incarnation())
            && time.isBefore(last.at().plus(binding));
    if (free && !bound && members.contains(sender.host())) {
      given.put(sender.host(), new Given(sender.incarnation(), time));
      fleet.send(this, sender.host(), new Answer(ask.nonce(), sender.incarnation(), listVersion));
    }
  }

  private void count(Sender sender, Answer answer) {
    Asked request = asked.get(answer.nonce());
    if (request == null || !answer.incarnation().equals(incarnation)) {
      return;
    }
    MonotonicTime until = request.at().plus(ATTESTATION).minus(MARGIN);
    MonotonicTime known = attestedUntil.get(sender.host());
    if (known == null || known.isBefore(until)) {
      attestedUntil.put(sender.host(), until);
      attestedVersion.put(sender.host(), answer.version());
      stand();
    }
  }

  private void stand() {
    Standing standing =
        new Standing(
            name, incarnation, listVersion, members, attestedUntil, attestedVersion, Map.of());
    apply(new QuotaEvent.StandingChanged(++standings, standing));
  }

  private void apply(QuotaEvent event) {
    Step<QuotaState, QuotaEffect> step = transition.apply(state, event, clock());
    state = step.state();
    step.effects().forEach(this::carryOut);
  }

  private void carryOut(QuotaEffect effect) {
    if (effect instanceof QuotaEffect.Send send) {
      fleet.send(this, send.receiver(), send.message());
    } else if (effect instanceof QuotaEffect.Admitted admitted) {
      Running request = requests.get(admitted.request());
      fleet.ledger.admitted(fleet.now, request.used());
      Incarnation process = incarnation;
      fleet.after(
          request.duration(),
          () ->
              act(
                  process,
                  () ->
                      apply(
                          new QuotaEvent.Settle(
                              admitted.request(), FakeFleet.ACCOUNT, request.used()))));
    } else if (effect instanceof QuotaEffect.Refused) {
      fleet.ledger.refused(fleet.now);
    }
  }

  MonotonicTime clock() {
    return new MonotonicTime((long) (fleet.now * (1 + drift)) + offset);
  }

  private record Ask(long nonce) {}

  private record Answer(long nonce, Incarnation incarnation, long version) {}

  private record Asked(HostName host, MonotonicTime at) {}

  private record Given(Incarnation incarnation, MonotonicTime at) {}

  private record Running(long tokens, long used, long duration) {}
}
