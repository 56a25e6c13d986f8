package org.parsleyhead.core.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.scheduling.ModelRequest;
import org.parsleyhead.core.scheduling.RequestOutcome;
import org.parsleyhead.core.ticket.UpstreamItem;

/** An engine with slots, a batch and lagging reports, which records what must not happen. */
public final class FakeEngine {

  private static final double BASE_STEP_MILLISECONDS = 8;
  private static final double STEP_MILLISECONDS_PER_REQUEST = 0.4;
  private static final double STEP_MILLISECONDS_PER_ADAPTER = 0.4;
  private static final double REPORT_LAG_MILLISECONDS = 500;

  private record Job(ModelRequest request, Consumer<RequestOutcome> answer, int run) {}

  private final FakeTimeline timeline;
  private final FakeWeightStore store;
  private final UpstreamItem item;
  private final Map<String, Job> running = new LinkedHashMap<>();
  private final ArrayDeque<Job> waiting = new ArrayDeque<>();
  private final Set<AdapterReference> resident = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private EngineReport shown;
  private long highestFencing;
  private int run;
  private int missing;
  private int evictions;
  private double busySeconds;
  private double batchSeconds;
  private double observed;

  /** Creates an empty engine. */
  public FakeEngine(
      FakeTimeline timeline,
      FakeWeightStore store,
      String name,
      int slots,
      int maximumBatch,
      boolean checksFencing) {
    this.timeline = timeline;
    this.store = store;
    this.item =
        new UpstreamItem(
            new UpstreamName(name),
            Endpoint.parse("10.0.0.1:80"),
            new FailureDomainName("domain"),
            java.util.Optional.of(
                new UpstreamItem.Engine(new ModelName("base"), slots, maximumBatch, checksFencing)),
            false,
            false);
    show();
    timeline.every(REPORT_LAG_MILLISECONDS, this::show);
  }

  /** Returns its declaration. */
  public UpstreamItem item() {
    return item;
  }

  /** Returns what must not have happened but did. */
  public List<String> violations() {
    return violations;
  }

  /** Returns how many requests came for adapters that it did not hold. */
  public int missing() {
    return missing;
  }

  /** Returns how many adapters were evicted. */
  public int evictions() {
    return evictions;
  }

  /** Returns the mean batch while it ran anything. */
  public double meanBatch() {
    observe();
    return busySeconds == 0 ? 0 : batchSeconds / busySeconds;
  }

  /** Returns the adapters that it holds. */
  public Set<AdapterReference> resident() {
    return resident;
  }

  /** Answers a reading with figures that lag. */
  public EngineReport report(MonotonicTime readStarted) {
    return new EngineReport(
        item.name(),
        readStarted,
        shown.running(),
        shown.waiting(),
        Set.copyOf(resident),
        shown.active());
  }

  /** Takes a request; one for an adapter that it does not hold is not run. */
  public void serve(ModelRequest request, Consumer<RequestOutcome> answer) {
    if (!resident.contains(request.adapter())) {
      missing++;
      answer.accept(RequestOutcome.ADAPTER_MISSING);
      return;
    }
    waiting.add(new Job(request, answer, run));
    startWaiting();
  }

  /** Carries out an order to load an adapter. */
  public void load(AdapterReference adapter, long fencing, Consumer<OrderOutcome> answer) {
    if (isFenced(fencing)) {
      answer.accept(OrderOutcome.FENCED);
      return;
    }
    int orderedRun = run;
    store.transfer(
        loaded -> {
          boolean slot = resident.size() < item.engine().orElseThrow().adapterSlots();
          boolean done = loaded && orderedRun == run && (slot || resident.contains(adapter));
          if (done) {
            resident.add(adapter);
          }
          answer.accept(done ? OrderOutcome.DONE : OrderOutcome.FAILED);
        });
  }

  /** Carries out an order to drop an adapter. */
  public void unload(AdapterReference adapter, long fencing, Consumer<OrderOutcome> answer) {
    if (isFenced(fencing)) {
      answer.accept(OrderOutcome.FENCED);
      return;
    }
    if (active().contains(adapter)) {
      violations.add(
          adapter + " evicted from " + item.name() + " while serving at " + timeline.seconds());
    }
    evictions += resident.remove(adapter) ? 1 : 0;
    answer.accept(OrderOutcome.DONE);
  }

  /** Restarts with nothing; what ran there fails. */
  public void restart() {
    observe();
    run++;
    List<Job> broken = new ArrayList<>(running.values());
    broken.addAll(waiting);
    running.clear();
    waiting.clear();
    resident.clear();
    highestFencing = 0;
    broken.forEach(job -> job.answer().accept(RequestOutcome.FAILED));
  }

  private boolean isFenced(long fencing) {
    if (!item.engine().orElseThrow().checksFencing()) {
      return false;
    }
    boolean old = fencing < highestFencing;
    highestFencing = Math.max(highestFencing, fencing);
    return old;
  }

  private void startWaiting() {
    observe();
    while (!waiting.isEmpty() && running.size() < item.engine().orElseThrow().maximumBatch()) {
      Job job = waiting.poll();
      running.put(job.request().identifier().text(), job);
      double step =
          BASE_STEP_MILLISECONDS
              + STEP_MILLISECONDS_PER_REQUEST * running.size()
              + STEP_MILLISECONDS_PER_ADAPTER * active().size();
      timeline.after(step * job.request().expectedOutputTokens(), () -> finish(job));
    }
  }

  private void finish(Job job) {
    if (job.run() == run && running.containsKey(job.request().identifier().text())) {
      observe();
      running.remove(job.request().identifier().text());
      job.answer().accept(RequestOutcome.COMPLETED);
      startWaiting();
    }
  }

  private Set<AdapterReference> active() {
    Set<AdapterReference> active = new HashSet<>();
    running.values().forEach(job -> active.add(job.request().adapter()));
    waiting.forEach(job -> active.add(job.request().adapter()));
    return active;
  }

  private void show() {
    shown =
        new EngineReport(
            item.name(),
            MonotonicTime.ORIGIN,
            running.size(),
            waiting.size(),
            Set.copyOf(resident),
            active());
  }

  private void observe() {
    double passed = timeline.seconds() - observed;
    observed = timeline.seconds();
    if (!running.isEmpty()) {
      busySeconds += passed;
      batchSeconds += passed * running.size();
    }
  }
}
