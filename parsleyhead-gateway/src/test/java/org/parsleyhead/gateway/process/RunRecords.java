package org.parsleyhead.gateway.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** The runs of requests at all fake servers. Thread-safe. */
final class RunRecords {

  private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
  private final AtomicLong sends = new AtomicLong();

  /** One run of a request. Thread-safe. */
  static final class Run {

    private final int server;
    private volatile String end = "under way";

    private Run(int server) {
      this.server = server;
    }

    void whole() {
      end = "whole";
    }

    void brokenOff() {
      end = "broken off";
    }

    void leftByHost() {
      end = "left by host";
    }

    /** Returns whether the run was at the server that a host calls by a name. */
    boolean isAt(String name) {
      return name.equals("server-" + server);
    }

    boolean endedByServer() {
      return end.equals("broken off");
    }

    @Override
    public String toString() {
      return "server-" + server + " " + end;
    }
  }

  /** Returns the number of a request that was received, from 1. */
  long nextSend() {
    return sends.incrementAndGet();
  }

  /** Records that a server starts to run a request. */
  Run start(String identifier, int server) {
    Run run = new Run(server);
    runs.computeIfAbsent(identifier, key -> new CopyOnWriteArrayList<>()).add(run);
    return run;
  }

  /** Returns the runs of a request in the order of their starts. */
  List<Run> of(String identifier) {
    return runs.getOrDefault(identifier, List.of());
  }
}
