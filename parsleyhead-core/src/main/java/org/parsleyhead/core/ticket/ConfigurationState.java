package org.parsleyhead.core.ticket;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The configuration state of one host: its catalogue, and the progress of reads from the service
 * and of exchanges with other hosts.
 *
 * <p>Immutable and thread-safe.
 */
public final class ConfigurationState {

  private final MonotonicTime startedAt;
  private final long seed;
  private final boolean ready;
  private final Catalogue catalogue;
  private final AppliedTickets applied;
  private final TicketStaging staging;
  private final TicketLog log;
  private final ServiceState service;
  private final PeerState peers;

  private ConfigurationState(
      MonotonicTime startedAt,
      long seed,
      boolean ready,
      Catalogue catalogue,
      AppliedTickets applied,
      TicketStaging staging,
      TicketLog log,
      ServiceState service,
      PeerState peers) {
    this.startedAt = startedAt;
    this.seed = seed;
    this.ready = ready;
    this.catalogue = catalogue;
    this.applied = applied;
    this.staging = staging;
    this.log = log;
    this.service = service;
    this.peers = peers;
  }

  /** Returns the state of a process that starts, with an empty catalogue. */
  public static ConfigurationState initial(MonotonicTime time) {
    return initial(time, Catalogue.empty());
  }

  static ConfigurationState initial(MonotonicTime time, Catalogue catalogue) {
    return new ConfigurationState(
        time,
        0,
        false,
        catalogue,
        AppliedTickets.NONE,
        TicketStaging.EMPTY,
        TicketLog.EMPTY,
        ServiceState.INITIAL,
        PeerState.initial(time));
  }

  /** Returns the catalogue in force. */
  public Catalogue catalogue() {
    return catalogue;
  }

  /** Returns the number up to which all tickets are merged. */
  public long mergedThrough() {
    return applied.through();
  }

  /** Returns whether this host is ready to serve callers. */
  public boolean ready() {
    return ready;
  }

  /** Returns the age of the last contact with the service, direct or reported by another host. */
  public Duration contactAge(MonotonicTime time) {
    return service.contactAge(time);
  }

  MonotonicTime startedAt() {
    return startedAt;
  }

  long seed() {
    return seed;
  }

  AppliedTickets applied() {
    return applied;
  }

  TicketStaging staging() {
    return staging;
  }

  TicketLog log() {
    return log;
  }

  ServiceState service() {
    return service;
  }

  PeerState peers() {
    return peers;
  }

  ConfigurationState withSeed(long randomNumber) {
    return new ConfigurationState(
        startedAt, randomNumber, ready, catalogue, applied, staging, log, service, peers);
  }

  ConfigurationState asReady() {
    return new ConfigurationState(
        startedAt, seed, true, catalogue, applied, staging, log, service, peers);
  }

  ConfigurationState withCatalogue(Catalogue merged) {
    return new ConfigurationState(
        startedAt, seed, ready, merged, applied, staging, log, service, peers);
  }

  ConfigurationState withApplied(AppliedTickets merged) {
    return new ConfigurationState(
        startedAt, seed, ready, catalogue, merged, staging, log, service, peers);
  }

  ConfigurationState withStaging(TicketStaging staged) {
    return new ConfigurationState(
        startedAt, seed, ready, catalogue, applied, staged, log, service, peers);
  }

  ConfigurationState withLog(TicketLog kept) {
    return new ConfigurationState(
        startedAt, seed, ready, catalogue, applied, staging, kept, service, peers);
  }

  ConfigurationState withService(ServiceState changed) {
    return new ConfigurationState(
        startedAt, seed, ready, catalogue, applied, staging, log, changed, peers);
  }

  ConfigurationState withPeers(PeerState changed) {
    return new ConfigurationState(
        startedAt, seed, ready, catalogue, applied, staging, log, service, changed);
  }
}
