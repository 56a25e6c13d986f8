package org.parsleyhead.core.dispatch;

import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.Instance;

/**
 * An instance as seen by this host, with its load, health and adapters.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the last announcement
 * @param removedAt when the announcement was removed; empty if it is present
 * @param ownLoad the load of this host
 * @param peerLoad the load of the other hosts, by their last reports
 * @param health the health as observed by this host
 * @param adapters the models and adapters that the instance holds
 * @param prefixCache the estimated content of its prefix cache
 * @param owned whether it has a live owner, which may send it orders
 * @param condition what it reported about its load and pace
 */
record InstanceView(
    Instance instance,
    Optional<MonotonicTime> removedAt,
    InstanceLoad ownLoad,
    InstanceLoad peerLoad,
    InstanceHealth health,
    AdapterInventory adapters,
    PrefixCacheEstimate prefixCache,
    boolean owned,
    ServerCondition condition) {

  static InstanceView fresh(Instance instance, MonotonicTime time) {
    return new InstanceView(
        instance,
        Optional.empty(),
        InstanceLoad.NONE,
        InstanceLoad.NONE,
        InstanceHealth.healthy(time),
        AdapterInventory.announced(instance, time),
        PrefixCacheEstimate.EMPTY,
        false,
        ServerCondition.UNREPORTED);
  }

  String identifier() {
    return instance.identifier();
  }

  InstanceLoad totalLoad() {
    return ownLoad.plus(peerLoad);
  }

  boolean acceptsRequests() {
    return !instance.draining() && removedAt.isEmpty();
  }

  /** Returns this view with a newer announcement; a new view if the instance has restarted. */
  InstanceView withAnnouncement(Instance announced, MonotonicTime time) {
    if (!instance.sameRun(announced)) {
      return announced.startedAtMilliseconds() < instance.startedAtMilliseconds()
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
        ownLoad,
        peerLoad,
        health,
        adapters.withAnnouncement(announced, time),
        prefixCache,
        owned,
        condition);
  }

  /** Returns this view after the instance has stated what it wants of this host. */
  InstanceView withNotice(DispatchEvent.InstanceNotice notice, MonotonicTime time) {
    if (!instance.sameRun(notice.instance())) {
      return this;
    }
    InstanceView next =
        notice
            .refusesFor()
            .map(duration -> withHealth(health.refusing(duration, time)))
            .orElse(this);
    return notice.leaving() ? next.withLeaving() : next;
  }

  private InstanceView withLeaving() {
    return new InstanceView(
        instance.asDraining(),
        removedAt,
        ownLoad,
        peerLoad,
        health,
        adapters,
        prefixCache,
        owned,
        condition);
  }

  InstanceView withRemovedAt(MonotonicTime time) {
    return new InstanceView(
        instance,
        Optional.of(time),
        ownLoad,
        peerLoad,
        health,
        adapters,
        prefixCache,
        owned,
        condition);
  }

  InstanceView withOwnLoad(InstanceLoad load) {
    return new InstanceView(
        instance, removedAt, load, peerLoad, health, adapters, prefixCache, owned, condition);
  }

  InstanceView withPeerLoad(InstanceLoad load, MonotonicTime time) {
    return new InstanceView(
        instance,
        removedAt,
        ownLoad,
        load,
        health,
        adapters,
        prefixCache,
        owned,
        condition.withOtherHosts(load.running(), time));
  }

  InstanceView withHealth(InstanceHealth next) {
    return new InstanceView(
        instance, removedAt, ownLoad, peerLoad, next, adapters, prefixCache, owned, condition);
  }

  InstanceView withAdapters(AdapterInventory next) {
    return new InstanceView(
        instance, removedAt, ownLoad, peerLoad, health, next, prefixCache, owned, condition);
  }

  InstanceView withOwned(boolean next) {
    return next == owned
        ? this
        : new InstanceView(
            instance, removedAt, ownLoad, peerLoad, health, adapters, prefixCache, next, condition);
  }

  InstanceView withPrefixCache(PrefixCacheEstimate next) {
    return new InstanceView(
        instance, removedAt, ownLoad, peerLoad, health, adapters, next, owned, condition);
  }

  InstanceView withCondition(ServerCondition next) {
    return new InstanceView(
        instance, removedAt, ownLoad, peerLoad, health, adapters, prefixCache, owned, next);
  }
}
