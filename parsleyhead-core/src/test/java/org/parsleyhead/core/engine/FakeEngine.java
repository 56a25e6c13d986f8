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

/**
 * A fake engine with adapter slots, a batch, a queue and lagging reports. Records violations such
 * as the eviction of an adapter in use. Not thread-safe.
 */
public final class FakeEngine {

  private static final double BASE_STEP_MILLISECONDS = 8;
  private static final double STEP_MILLISECONDS_PER_REQUEST = 0.4;
  private static final double STEP_MILLISECONDS_PER_ADAPTER = 0.4;
  private static final double REPORT_LAG_MILLISECONDS = 500;

  private record Job(ModelRequest request, Consumer<RequestOutcome> answer, int generation) {}

  private final FakeTimeline timeline;
  private final FakeWeightStore store;
  private final UpstreamItem item;
  private final Map<String, Job> running = new LinkedHashMap<>();
  private final ArrayDeque<Job> waiting = new ArrayDeque<>();
  private final Set<AdapterReference> resident = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private EngineReport laggedReport;
  private long highestFencingNumber;
  private int generation;
  private int missingAdapterRequests;
  private int evictions;
  private double busySeconds;
  private double requestSeconds;
  private double batchTimeUpdatedAt;

  /** Creates an engine without adapters and requests. */
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
    updateLaggedReport();
    timeline.every(REPORT_LAG_MILLISECONDS, this::updateLaggedReport);
  }

  /** Returns the declaration of this engine. */
  public UpstreamItem item() {
    return item;
  }

  /** Returns descriptions of the evictions of adapters in use. */
  public List<String> violations() {
    return violations;
  }

  /** Returns how many requests were rejected because their adapter was not resident. */
  public int missingAdapterRequests() {
    return missingAdapterRequests;
  }

  /** Returns how many adapters were evicted. */
  public int evictions() {
    return evictions;
  }

  /** Returns the mean batch size over the time with running requests. */
  public double meanBatch() {
    updateBatchTime();
    return busySeconds == 0 ? 0 : requestSeconds / busySeconds;
  }

  /** Returns the adapters that this engine holds. */
  public Set<AdapterReference> resident() {
    return resident;
  }

  /** Answers a state read; running, waiting and active requests lag, the adapters do not. */
  public EngineReport report(MonotonicTime readStarted) {
    return new EngineReport(
        item.name(),
        readStarted,
        laggedReport.running(),
        laggedReport.waiting(),
        Set.copyOf(resident),
        laggedReport.active());
  }

  /** Accepts a request; rejects it if its adapter is not resident. */
  public void serve(ModelRequest request, Consumer<RequestOutcome> answer) {
    if (!resident.contains(request.adapter())) {
      missingAdapterRequests++;
      answer.accept(RequestOutcome.ADAPTER_MISSING);
      return;
    }
    waiting.add(new Job(request, answer, generation));
    startWaiting();
  }

  /** Carries out an order to load an adapter. */
  public void load(AdapterReference adapter, long fencingNumber, Consumer<OrderOutcome> answer) {
    if (isFenced(fencingNumber)) {
      answer.accept(OrderOutcome.FENCED);
      return;
    }
    int orderGeneration = generation;
    store.transfer(
        loaded -> {
          boolean hasFreeSlot = resident.size() < item.engine().orElseThrow().adapterSlots();
          boolean done =
              loaded
                  && orderGeneration == generation
                  && (hasFreeSlot || resident.contains(adapter));
          if (done) {
            resident.add(adapter);
          }
          answer.accept(done ? OrderOutcome.DONE : OrderOutcome.FAILED);
        });
  }

  /** Carries out an order to unload an adapter. */
  public void unload(AdapterReference adapter, long fencingNumber, Consumer<OrderOutcome> answer) {
    if (isFenced(fencingNumber)) {
      answer.accept(OrderOutcome.FENCED);
      return;
    }
    if (active().contains(adapter)) {
      violations.add(
          adapter + " evicted from " + item.name() + " while in use at " + timeline.seconds());
    }
    evictions += resident.remove(adapter) ? 1 : 0;
    answer.accept(OrderOutcome.DONE);
  }

  /** Restarts without adapters; running and waiting requests fail. */
  public void restart() {
    updateBatchTime();
    generation++;
    List<Job> aborted = new ArrayList<>(running.values());
    aborted.addAll(waiting);
    running.clear();
    waiting.clear();
    resident.clear();
    highestFencingNumber = 0;
    aborted.forEach(job -> job.answer().accept(RequestOutcome.FAILED));
  }

  private boolean isFenced(long fencingNumber) {
    if (!item.engine().orElseThrow().checksFencing()) {
      return false;
    }
    boolean outdated = fencingNumber < highestFencingNumber;
    highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
    return outdated;
  }

  private void startWaiting() {
    updateBatchTime();
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
    if (job.generation() == generation && running.containsKey(job.request().identifier().text())) {
      updateBatchTime();
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

  private void updateLaggedReport() {
    laggedReport =
        new EngineReport(
            item.name(),
            MonotonicTime.ORIGIN,
            running.size(),
            waiting.size(),
            Set.copyOf(resident),
            active());
  }

  private void updateBatchTime() {
    double elapsed = timeline.seconds() - batchTimeUpdatedAt;
    batchTimeUpdatedAt = timeline.seconds();
    if (!running.isEmpty()) {
      busySeconds += elapsed;
      requestSeconds += elapsed * running.size();
    }
  }
}
