package org.parsleyhead.core.dispatch;

import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.Instance;

/**
 * An instance with what this host knows of its work.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance its last announcement
 * @param removedAt when its announcement was removed
 * @param own the work that this host has there
 * @param peers the work that other hosts have there, by their last reports
 * @param health what this host has seen of its answers
 * @param adapters the adapters that it holds
 * @param prompts the prompts that it keeps
 * @param owned whether some live host gives it orders
 */
record InstanceView(
    Instance instance,
    Optional<MonotonicTime> removedAt,
    SentLoad own,
    SentLoad peers,
    InstanceHealth health,
    HeldAdapters adapters,
    PromptMemory prompts,
    boolean owned) {

  static InstanceView fresh(Instance instance, MonotonicTime time) {
    return new InstanceView(
        instance,
        Optional.empty(),
        SentLoad.NONE,
        SentLoad.NONE,
        InstanceHealth.sound(time),
        HeldAdapters.announced(instance, time),
        PromptMemory.EMPTY,
        false);
  }

  String identifier() {
    return instance.identifier();
  }

  SentLoad load() {
    return own.plus(peers);
  }

  boolean takesRequests() {
    return !instance.draining() && removedAt.isEmpty();
  }

  /** Returns this view with a newer announcement; a fresh one if the instance has restarted. */
  InstanceView announce(Instance announced, MonotonicTime time) {
    if (!instance.sameRun(announced)) {
      return announced.startedAtMillis() < instance.startedAtMillis()
          ? this
          : fresh(announced, time);
    }
    if (announced.announcementNumber() < instance.announcementNumber()) {
      return this;
    }
    Instance next = instance.draining() ? announced.asDraining() : announced;
    return new InstanceView(
        next,
        Optional.empty(),
        own,
        peers,
        health,
        adapters.announce(announced, time),
        prompts,
        owned);
  }

  InstanceView withRemovedAt(MonotonicTime time) {
    return new InstanceView(
        instance, Optional.of(time), own, peers, health, adapters, prompts, owned);
  }

  InstanceView withOwn(SentLoad load) {
    return new InstanceView(instance, removedAt, load, peers, health, adapters, prompts, owned);
  }

  InstanceView withPeers(SentLoad load) {
    return new InstanceView(instance, removedAt, own, load, health, adapters, prompts, owned);
  }

  InstanceView withHealth(InstanceHealth next) {
    return new InstanceView(instance, removedAt, own, peers, next, adapters, prompts, owned);
  }

  InstanceView withAdapters(HeldAdapters next) {
    return new InstanceView(instance, removedAt, own, peers, health, next, prompts, owned);
  }

  InstanceView withOwned(boolean next) {
    return next == owned
        ? this
        : new InstanceView(instance, removedAt, own, peers, health, adapters, prompts, next);
  }

  InstanceView withPrompts(PromptMemory next) {
    return new InstanceView(instance, removedAt, own, peers, health, adapters, next, owned);
  }
}
