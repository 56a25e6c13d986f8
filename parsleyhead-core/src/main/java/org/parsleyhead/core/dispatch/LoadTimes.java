package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;

/**
 * Derives from the settings and the observed loads when adapters are ready.
 *
 * <p>Immutable and thread-safe.
 */
final class LoadTimes {

  private final DispatchSettings settings;

  LoadTimes(DispatchSettings settings) {
    this.settings = settings;
  }

  /** Returns the expected duration of a load that is ordered now. */
  Duration expected(LoadTimeEstimate estimate, boolean warm, MonotonicTime time) {
    return estimate.expected(warm, configured(warm), time);
  }

  /** Returns when an adapter is expected to be ready; now if no load of it is expected. */
  MonotonicTime readyAt(
      LoadTimeEstimate estimate, InstanceView view, AdapterKey adapter, MonotonicTime time) {
    ExpectedLoad load = view.adapters().expected().get(adapter);
    return load == null ? time : load.readyAt(expected(estimate, load.warm(), time));
  }

  /**
   * Returns the load that an owner has ordered. It counts as warm only if both the history known to
   * this host and the owner's expectation say so, since a host also counts adapters as formerly
   * held that a server has never finished loading.
   */
  ExpectedLoad ordered(InstanceView view, DispatchEvent.LoadOrdered ordered, MonotonicTime time) {
    Duration expected = ordered.loadingFor().plus(ordered.readyIn());
    boolean warm =
        view.adapters().formerlyHeld(ordered.adapter())
            && expected.compareTo(settings.coldLoad().dividedBy(2)) < 0;
    return new ExpectedLoad(
        time.minus(ordered.loadingFor()), time.plus(ordered.readyIn()), warm, false);
  }

  /** Returns the instances after one of them rejected a request because of a missing adapter. */
  InstanceTable withRejection(
      InstanceTable instances, String instance, AdapterKey adapter, MonotonicTime time) {
    InstanceView view = instances.find(instance).orElse(null);
    if (view == null) {
      return instances;
    }
    LoadTimeEstimate estimate = instances.loadTimes();
    ExpectedLoad load = view.adapters().expected().get(adapter);
    boolean late = load != null && load.lateAt(expected(estimate, load.warm(), time), time);
    LoadTimeEstimate next =
        late
            ? estimate.withRejection(
                load.warm(), configured(load.warm()), time.since(load.orderedAt()), time)
            : estimate;
    return instances
        .update(instance, known -> known.withAdapters(known.adapters().withMissing(adapter, time)))
        .withLoadTimes(next);
  }

  /** Returns the instances after one of them answered a request that uses an adapter. */
  InstanceTable withResponse(
      InstanceTable instances, String instance, AdapterKey adapter, MonotonicTime time) {
    ExpectedLoad load =
        instances.find(instance).map(view -> view.adapters().expected().get(adapter)).orElse(null);
    return load == null
        ? instances
        : instances
            .update(instance, view -> view.withAdapters(view.adapters().withLoaded(adapter)))
            .withLoadTimes(
                instances
                    .loadTimes()
                    .withFirstResponse(load.warm(), configured(load.warm()), time));
  }

  private Duration configured(boolean warm) {
    return warm ? settings.warmLoad() : settings.coldLoad();
  }
}
