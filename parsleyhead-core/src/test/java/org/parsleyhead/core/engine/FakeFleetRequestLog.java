package org.parsleyhead.core.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.scheduling.ModelRequest;

/** Records the requests of a fake fleet and counts the messages of its hosts. Not thread-safe. */
public final class FakeFleetRequestLog {

  /** A request with the times of its events in seconds; negative if an event did not occur. */
  public static final class Entry {
    final HostName host;
    final ModelRequest request;
    final double submitted;
    final boolean resident;
    double dispatched = -1;
    double completed = -1;
    double refused = -1;

    Entry(HostName host, ModelRequest request, double submitted, boolean resident) {
      this.host = host;
      this.request = request;
      this.submitted = submitted;
      this.resident = resident;
    }

    double waited() {
      return dispatched - submitted;
    }
  }

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<String, Integer> messages = new TreeMap<>();

  void submitted(HostName host, ModelRequest request, double time, boolean resident) {
    entries.put(request.identifier().text(), new Entry(host, request, time, resident));
  }

  void dispatched(ModelRequest request, double time) {
    entries.get(request.identifier().text()).dispatched = time;
  }

  void completed(ModelRequest request, double time) {
    entries.get(request.identifier().text()).completed = time;
  }

  void refused(String identifier, double time) {
    entries.get(identifier).refused = time;
  }

  void sent(PeerMessage message) {
    messages.merge(message.getClass().getSimpleName(), 1, Integer::sum);
  }

  void forget(HostName host) {
    entries.values().removeIf(entry -> entry.host.equals(host) && entry.completed < 0);
  }

  Collection<Entry> entries() {
    return entries.values();
  }

  Map<String, Integer> messages() {
    return new HashMap<>(messages);
  }

  long count(Predicate<Entry> predicate) {
    return entries.values().stream().filter(predicate).count();
  }

  /** Returns a quantile of the waiting times of dispatched requests, in seconds. */
  double waitQuantile(double quantile, Predicate<Entry> predicate) {
    List<Double> waits = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.dispatched >= 0 && predicate.test(entry)) {
        waits.add(entry.waited());
      }
    }
    waits.sort(null);
    return waits.isEmpty() ? 0 : waits.get((int) (quantile * (waits.size() - 1)));
  }
}
