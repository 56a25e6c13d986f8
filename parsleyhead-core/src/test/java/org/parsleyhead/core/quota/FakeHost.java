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
import org.parsleyhead.core.membership.RightsSnapshot;

/**
 * A process with a quota transition, its own clock and a simple exchange of attestations. Not
 * thread-safe.
 */
final class FakeHost {

  static final double MAXIMUM_DRIFT = 0.0002;

  private static final Duration ATTESTATION_DURATION = Duration.ofSeconds(10);
  private static final Duration DRIFT_MARGIN = Duration.ofMillis(200);
  private static final long TICK_INTERVAL = 100 * FakeFleet.MILLISECOND;

  final FakeFleet fleet;
  final HostName name;
  int partition;
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
  private long snapshots;
  private final Map<Long, PendingAttestationRequest> pendingAttestations = new HashMap<>();
  private final Map<HostName, MonotonicTime> attestedUntil = new HashMap<>();
  private final Map<HostName, Long> attestedVersion = new HashMap<>();
  private final Map<HostName, SentAttestation> sentAttestations = new HashMap<>();
  private final Map<RequestIdentifier, RequestPlan> requests = new HashMap<>();

  FakeHost(FakeFleet fleet, HostName name) {
    this.fleet = fleet;
    this.name = name;
    this.drift = fleet.random.nextDouble() * MAXIMUM_DRIFT;
    this.offset = fleet.random.nextInt();
  }

  Sender sender() {
    return new Sender(name, incarnation);
  }

  /** Starts a process without state, replacing a running one. */
  void start() {
    running = true;
    pausedUntil = 0;
    incarnation = new Incarnation(fleet.random.nextLong() >>> 1);
    transition = fleet.transitions.apply(QuotaSettings.of(name, incarnation), fleet.policy);
    startedAt = clock();
    state = QuotaState.initial(startedAt);
    pendingAttestations.clear();
    attestedUntil.clear();
    attestedVersion.clear();
    sentAttestations.clear();
    requests.clear();
    listVersion = 0;
    Incarnation started = incarnation;
    whenRunning(started, () -> readLimits(fleet.limits));
    long version = fleet.listVersion;
    SortedSet<HostName> listed = fleet.listed;
    whenRunning(started, () -> readList(version, listed));
    fleet.after((long) (fleet.random.nextDouble() * TICK_INTERVAL), () -> tick(started));
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

  /** Makes this host ignore newer host lists. */
  void ignoreLists() {
    listsIgnored = true;
  }

  void readList(long version, SortedSet<HostName> listed) {
    whenRunning(
        incarnation,
        () -> {
          if (version > listVersion && !listsIgnored) {
            listVersion = version;
            members = listed;
            updateRights();
          }
        });
  }

  void readLimits(Limits limits) {
    whenRunning(incarnation, () -> apply(new QuotaEvent.LimitsDeclared(FakeFleet.ACCOUNT, limits)));
  }

  void reserve(RequestIdentifier request, long tokens, long used, long duration) {
    whenRunning(
        incarnation,
        () -> {
          requests.put(request, new RequestPlan(tokens, used, duration));
          apply(new QuotaEvent.Reserve(request, FakeFleet.ACCOUNT, tokens));
        });
  }

  void deliver(Sender sender, Object message) {
    whenRunning(
        incarnation,
        () -> {
          if (message instanceof FakeAttestationRequest request) {
            attest(sender, request);
          } else if (message instanceof FakeAttestationResponse response) {
            recordAttestation(sender, response);
          } else {
            apply(new QuotaEvent.MessageReceived(sender, (PeerMessage) message));
          }
        });
  }

  /** Runs an action if the process is still running, after its pause if it is paused. */
  private void whenRunning(Incarnation process, Runnable action) {
    if (!running || !process.equals(incarnation)) {
      return;
    }
    if (fleet.now < pausedUntil) {
      fleet.at(pausedUntil, () -> whenRunning(process, action));
    } else {
      action.run();
    }
  }

  private void tick(Incarnation process) {
    whenRunning(
        process,
        () -> {
          if (ticks++ % 10 == 0) {
            requestAttestations();
          }
          apply(new QuotaEvent.Tick());
          fleet.after(TICK_INTERVAL, () -> tick(process));
        });
  }

  private void requestAttestations() {
    for (HostName member : members) {
      if (!member.equals(name)) {
        long nonce = nextNonce++;
        pendingAttestations.put(nonce, new PendingAttestationRequest(member, clock()));
        fleet.send(this, member, new FakeAttestationRequest(nonce));
      }
    }
  }

  private void attest(Sender sender, FakeAttestationRequest request) {
    MonotonicTime time = clock();
    SentAttestation last = sentAttestations.get(sender.host());
    Duration binding = ATTESTATION_DURATION.plus(DRIFT_MARGIN);
    boolean unrestricted = !time.isBefore(startedAt.plus(binding));
    boolean bound =
        last != null
            && !last.incarnation().equals(sender.incarnation())
            && time.isBefore(last.sentAt().plus(binding));
    if (unrestricted && !bound && members.contains(sender.host())) {
      sentAttestations.put(sender.host(), new SentAttestation(sender.incarnation(), time));
      fleet.send(
          this,
          sender.host(),
          new FakeAttestationResponse(request.nonce(), sender.incarnation(), listVersion));
    }
  }

  private void recordAttestation(Sender sender, FakeAttestationResponse response) {
    PendingAttestationRequest request = pendingAttestations.get(response.nonce());
    if (request == null || !response.incarnation().equals(incarnation)) {
      return;
    }
    MonotonicTime until = request.sentAt().plus(ATTESTATION_DURATION).minus(DRIFT_MARGIN);
    MonotonicTime known = attestedUntil.get(sender.host());
    if (known == null || known.isBefore(until)) {
      attestedUntil.put(sender.host(), until);
      attestedVersion.put(sender.host(), response.version());
      updateRights();
    }
  }

  private void updateRights() {
    RightsSnapshot rightsSnapshot =
        new RightsSnapshot(
            name, incarnation, listVersion, members, attestedUntil, attestedVersion, Map.of());
    apply(new QuotaEvent.RightsChanged(++snapshots, rightsSnapshot));
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
      RequestPlan request = requests.get(admitted.request());
      fleet.ledger.admitted(fleet.now, request.used());
      Incarnation process = incarnation;
      fleet.after(
          request.duration(),
          () ->
              whenRunning(
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

  private record FakeAttestationRequest(long nonce) {}

  private record FakeAttestationResponse(long nonce, Incarnation incarnation, long version) {}

  private record PendingAttestationRequest(HostName receiver, MonotonicTime sentAt) {}

  private record SentAttestation(Incarnation incarnation, MonotonicTime sentAt) {}

  private record RequestPlan(long tokens, long used, long duration) {}
}
