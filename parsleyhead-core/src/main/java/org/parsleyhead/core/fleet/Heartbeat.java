package org.parsleyhead.core.fleet;

import java.util.List;
import java.util.Map;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.dispatch.InstanceLoad;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;

/**
 * What a host tells another several times a second.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nonce the number of the heartbeat, which its answer repeats
 * @param endpoint where the sender is reached
 * @param leaving whether the sender is about to stop
 * @param revision the revision up to which the sender has read what the platform publishes
 * @param highestFence the highest fencing number that the sender knows of
 * @param established whether the sender has surely heard which hosts there are
 * @param capacityPercent the processor share of the sender, in hundredths of a core
 * @param hosts what the sender knows of the other hosts
 * @param claims the instances for which the sender asks for a vote
 * @param held the instances whose lease the sender holds
 * @param sums whether usage and loads are sums over all hosts but the receiver
 * @param usage what the sender has admitted for each limited client account since its start
 * @param loads the work that the sender has at each instance
 * @param use how many requests of the sender use an adapter at an instance that the receiver owns
 * @param reports the adapters of instances that the sender owns, if they changed lately
 */
public record Heartbeat(
    long nonce,
    String endpoint,
    boolean leaving,
    long revision,
    long highestFence,
    boolean established,
    int capacityPercent,
    Map<String, HostNotice> hosts,
    List<String> claims,
    List<String> held,
    boolean sums,
    Map<String, Double> usage,
    Map<String, InstanceLoad> loads,
    Map<String, Map<AdapterKey, Integer>> use,
    List<AdapterReport> reports)
    implements PeerMessage {

  /** Copies the collections. */
  public Heartbeat {
    hosts = Map.copyOf(hosts);
    claims = List.copyOf(claims);
    held = List.copyOf(held);
    usage = Map.copyOf(usage);
    loads = Map.copyOf(loads);
    use = Map.copyOf(use);
    reports = List.copyOf(reports);
  }
}
