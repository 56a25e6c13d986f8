package org.parsleyhead.core.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.scheduling.ModelRequest;
import org.parsleyhead.core.scheduling.RequestOutcome;
import org.parsleyhead.core.scheduling.SchedulingEffect;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.core.scheduling.SchedulingPolicy;
import org.parsleyhead.core.scheduling.SchedulingSettings;
import org.parsleyhead.core.scheduling.SchedulingTransition;
import org.parsleyhead.core.ticket.UpstreamItem;

/**
 * Simulates entry hosts, engines and a weight store on a fake clock and a fake network. Not
 * thread-safe.
 */
public final class FakeFleet {

  private static final double TICK_MILLISECONDS = 100;
  private static final double ATTESTATION_INTERVAL_MILLISECONDS = 1000;
  private static final double MAXIMUM_LIST_LAG_MILLISECONDS = 2000;

  private final FakeTimeline timeline;
  private final FakeWeightStore store;
  private final OwnershipSettings ownershipSettings;
  private final FakeFleetRequestLog requestLog = new FakeFleetRequestLog();
  private final Map<HostName, FakeHost> hosts = new TreeMap<>();
  private final Map<UpstreamName, FakeEngine> engines = new LinkedHashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final Map<String, ModelRequest> requests = new HashMap<>();
  private double lossProbability;
  private double orderFaultProbability;
  private boolean ignoresAttestations;
  private long listVersion;

  /** Creates a fleet with default scheduling settings; {@link #start} starts it. */
  public FakeFleet(long seed, OwnershipSettings settings, SchedulingPolicy policy, int hostCount) {
    this(seed, settings, SchedulingSettings.defaults(), policy, hostCount);
  }

  /** Creates a fleet with the given scheduling settings; {@link #start} starts it. */
  public FakeFleet(
      long seed,
      OwnershipSettings settings,
      SchedulingSettings schedulingSettings,
      SchedulingPolicy policy,
      int hostCount) {
    this.timeline = new FakeTimeline(seed);
    this.ownershipSettings = settings;
    this.store = new FakeWeightStore(timeline, settings.maximumTransfers());
    OwnershipTransition ownership = new OwnershipTransition(settings, policy.evictionPolicy());
    SchedulingTransition scheduling = new SchedulingTransition(schedulingSettings, policy);
    for (int number = 0; number < hostCount; number++) {
      HostName name = new HostName("host-" + number);
      long offset = timeline.random().nextLong(1L << 40);
      double rate = 1 + (timeline.random().nextDouble() - 0.5) / 1000;
      FakeHost host = new FakeHost(this, name, offset, rate, ownership, scheduling);
      hosts.put(name, host);
    }
  }

  /** Adds engines with equal properties. */
  public void addEngines(int count, int slots, int maximumBatch, boolean checksFencing) {
    for (int number = 0; number < count; number++) {
      String name = "engine-" + engines.size();
      FakeEngine engine = new FakeEngine(timeline, store, name, slots, maximumBatch, checksFencing);
      engines.put(engine.item().name(), engine);
    }
  }

  /** Publishes the first host list and starts all periodic actions. */
  public void start() {
    for (FakeHost host : hosts.values()) {
      host.applyEngineEvent(new EngineEvent.UpstreamsChanged(upstreams()));
      host.applySchedulingEvent(new SchedulingEvent.UpstreamsChanged(upstreams()));
      timeline.every(TICK_MILLISECONDS, () -> whenResumed(host, host::tick));
      timeline.every(
          ATTESTATION_INTERVAL_MILLISECONDS,
          () -> whenResumed(host, () -> requestAttestations(host)));
    }
    publish(hosts.keySet());
  }

  /** Publishes a host list; each host reads it after a random delay. */
  public void publish(Set<HostName> listed) {
    long version = ++listVersion;
    SortedSet<HostName> copy = new TreeSet<>(listed);
    for (FakeHost host : hosts.values()) {
      double lag = timeline.random().nextDouble() * MAXIMUM_LIST_LAG_MILLISECONDS;
      timeline.after(lag, () -> deliverList(host, version, copy));
    }
  }

  private void deliverList(FakeHost host, long version, SortedSet<HostName> listed) {
    whenResumed(host, () -> host.readList(version, listed));
  }

  /** Cuts or restores the network link from one host to another. */
  public void setLinkCut(HostName from, HostName to, boolean isCut) {
    String link = from + ">" + to;
    if (isCut) {
      cutLinks.add(link);
    } else {
      cutLinks.remove(link);
    }
  }

  /** Sets the probabilities of lost messages between hosts and of delayed or unanswered orders. */
  public void setFaultProbabilities(double messageLoss, double orderFault) {
    lossProbability = messageLoss;
    orderFaultProbability = orderFault;
  }

  /** Makes hosts act as if all others attested to them and all claims were due. */
  public void ignoreAttestations() {
    ignoresAttestations = true;
  }

  boolean ignoresAttestations() {
    return ignoresAttestations;
  }

  /** Restarts the process of a host; the new process reads the given host list. */
  public void restart(HostName name, Set<HostName> listed) {
    FakeHost host = hosts.get(name);
    requestLog.forget(name);
    host.restart();
    long version = listVersion;
    timeline.after(50, () -> deliverList(host, version, new TreeSet<>(listed)));
  }

  /** Submits a request to a host. */
  public void submit(HostName name, ModelRequest request) {
    FakeHost host = hosts.get(name);
    requests.put(request.identifier().text(), request);
    requestLog.submitted(name, request, timeline.seconds(), isResidentSomewhere(request));
    whenResumed(host, () -> host.applySchedulingEvent(new SchedulingEvent.Submitted(request)));
  }

  private boolean isResidentSomewhere(ModelRequest request) {
    return engines.values().stream()
        .anyMatch(engine -> engine.resident().contains(request.adapter()));
  }

  void carryOut(FakeHost host, SchedulingEffect effect) {
    if (effect instanceof SchedulingEffect.Send send) {
      send(host, send.host(), send.message());
    } else if (effect instanceof SchedulingEffect.Refuse refuse) {
      requestLog.refused(refuse.identifier().text(), timeline.seconds());
    } else if (effect instanceof SchedulingEffect.Dispatch dispatch) {
      dispatch(host, dispatch);
    }
  }

  void carryOut(FakeHost host, EngineEffect effect) {
    if (effect instanceof EngineEffect.Send send) {
      send(host, send.host(), send.message());
      return;
    }
    Incarnation incarnation = host.incarnation();
    if (effect instanceof EngineEffect.ReadEngine read) {
      MonotonicTime readStarted = host.now();
      timeline.after(
          latency(),
          () -> {
            EngineReport report = engines.get(read.engine()).report(readStarted);
            answer(
                host,
                incarnation,
                () -> host.applyEngineEvent(new EngineEvent.ReportReceived(report)));
          });
    } else if (effect instanceof EngineEffect.LoadAdapter load) {
      order(
          answer -> engines.get(load.engine()).load(load.adapter(), load.fencingNumber(), answer),
          outcome -> completeOrder(host, incarnation, load.engine(), load.orderNumber(), outcome));
    } else if (effect instanceof EngineEffect.UnloadAdapter unload) {
      order(
          answer ->
              engines.get(unload.engine()).unload(unload.adapter(), unload.fencingNumber(), answer),
          outcome ->
              completeOrder(host, incarnation, unload.engine(), unload.orderNumber(), outcome));
    }
  }

  private void order(Consumer<Consumer<OrderOutcome>> order, Consumer<OrderOutcome> answered) {
    boolean slow = timeline.chance(orderFaultProbability);
    double maximumDelay = ownershipSettings.orderLifetime().toMillis();
    double delay = slow ? timeline.random().nextDouble() * maximumDelay : latency();
    boolean unanswered = timeline.chance(orderFaultProbability);
    timeline.after(
        delay, () -> order.accept(outcome -> answered.accept(unanswered ? null : outcome)));
  }

  private void completeOrder(
      FakeHost host,
      Incarnation incarnation,
      UpstreamName engine,
      long number,
      OrderOutcome outcome) {
    if (outcome != null) {
      answer(
          host,
          incarnation,
          () -> host.applyEngineEvent(new EngineEvent.OrderCompleted(engine, number, outcome)));
    }
  }

  private void dispatch(FakeHost host, SchedulingEffect.Dispatch dispatch) {
    Incarnation incarnation = host.incarnation();
    ModelRequest request = dispatch.request();
    requestLog.dispatched(request, timeline.seconds());
    timeline.after(
        latency(),
        () ->
            engines
                .get(dispatch.upstream())
                .serve(
                    request,
                    outcome ->
                        answer(host, incarnation, () -> handleOutcome(host, request, outcome))));
  }

  private void handleOutcome(FakeHost host, ModelRequest request, RequestOutcome outcome) {
    host.applySchedulingEvent(
        new SchedulingEvent.Finished(
            request.identifier(), outcome, request.expectedOutputTokens()));
    if (outcome == RequestOutcome.COMPLETED) {
      requestLog.completed(request, timeline.seconds());
    } else {
      host.applySchedulingEvent(new SchedulingEvent.Submitted(request));
    }
  }

  private void requestAttestations(FakeHost host) {
    Incarnation incarnation = host.incarnation();
    MonotonicTime requested = host.now();
    for (HostName other : host.members()) {
      if (other.equals(host.name())) {
        continue;
      }
      deliver(
          host.name(),
          other,
          () -> {
            long version = hosts.get(other).attestTo(host.name());
            deliver(
                other,
                host.name(),
                () ->
                    whenSameIncarnation(
                        host,
                        incarnation,
                        () -> host.receiveAttestation(other, version, requested)));
          });
    }
  }

  private void send(FakeHost from, HostName to, PeerMessage message) {
    Sender sender = new Sender(from.name(), from.incarnation());
    if (from.name().equals(to)) {
      Incarnation incarnation = from.incarnation();
      timeline.after(0, () -> from.whenResumed(incarnation, () -> from.receive(sender, message)));
      return;
    }
    requestLog.sent(message);
    deliver(from.name(), to, () -> hosts.get(to).receive(sender, message));
  }

  private void deliver(HostName from, HostName to, Runnable action) {
    if (cutLinks.contains(from + ">" + to) || timeline.chance(lossProbability)) {
      return;
    }
    FakeHost receiver = hosts.get(to);
    timeline.after(latency(), () -> whenResumed(receiver, action));
  }

  private void answer(FakeHost host, Incarnation incarnation, Runnable action) {
    timeline.after(latency(), () -> whenSameIncarnation(host, incarnation, action));
  }

  private void whenSameIncarnation(FakeHost host, Incarnation incarnation, Runnable action) {
    host.whenResumed(incarnation, action);
  }

  private void whenResumed(FakeHost host, Runnable action) {
    host.whenResumed(host.incarnation(), action);
  }

  private double latency() {
    boolean slow = timeline.chance(0.02);
    return 1 + timeline.random().nextDouble() * (slow ? 200 : 4);
  }

  FakeTimeline timeline() {
    return timeline;
  }

  OwnershipSettings ownershipSettings() {
    return ownershipSettings;
  }

  List<UpstreamItem> upstreams() {
    return engines.values().stream().map(FakeEngine::item).toList();
  }

  FakeHost host(HostName name) {
    return hosts.get(name);
  }

  /** Returns the names of all hosts. */
  public List<HostName> hostNames() {
    return new ArrayList<>(hosts.keySet());
  }

  /** Returns the engines. */
  public List<FakeEngine> engines() {
    return new ArrayList<>(engines.values());
  }

  /** Returns the weight store. */
  public FakeWeightStore store() {
    return store;
  }

  /** Returns the recorded requests. */
  public FakeFleetRequestLog requestLog() {
    return requestLog;
  }

  /** Runs the fleet until a time in seconds. */
  public void runUntil(double seconds) {
    timeline.runUntil(seconds);
  }
}
