package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.ticket.Priority;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Start-time fair queueing between client accounts, in tokens.
 *
 * <p>Virtual time is counted in seconds of an account's rate. A request begins at the later of the
 * virtual time and the end of its flow's former request, so that a flow that asks for much more
 * than the others stands behind them, and an idle flow saves up nothing.
 *
 * <p>Immutable and thread-safe. Flows that are not ahead of virtual time have no state.
 *
 * @param virtualTime the latest beginning of a request that was dispatched
 * @param flows the flows that wait or are ahead of virtual time
 * @param waitingRate the sum of the rates of flows with waiting requests, in tokens per second
 */
record FairShares(double virtualTime, PMap<FlowKey, Flow> flows, double waitingRate) {

  /** The requests of one class of a client account. */
  record FlowKey(ClientAccountName clientAccount, Priority priority) {}

  /** Where the flow's last request ends, how many of its requests wait, and its rate. */
  record Flow(double end, int waiting, double rate) {}

  static FairShares empty() {
    return new FairShares(0, HashTreePMap.empty(), 0);
  }

  /** Returns where a request would begin. */
  double startOf(ModelRequest request) {
    Flow flow = flows.get(keyOf(request));
    return flow == null ? virtualTime : Math.max(virtualTime, flow.end());
  }

  /** Returns the shares with a request waiting. */
  FairShares enqueue(ModelRequest request) {
    Flow flow = flowOf(request);
    double end = startOf(request) + request.cost() / request.accountRate();
    double added = flow.waiting() == 0 ? flow.rate() : 0;
    return new FairShares(
        virtualTime,
        flows.plus(keyOf(request), new Flow(end, flow.waiting() + 1, flow.rate())),
        waitingRate + added);
  }

  /** Returns the shares after the dispatch of a request. */
  FairShares dispatch(WaitingRequest waiting) {
    FairShares without = dequeue(waiting.request(), 0);
    return new FairShares(
            Math.max(virtualTime, waiting.startTag()), without.flows, without.waitingRate)
        .forget(keyOf(waiting.request()));
  }

  /** Returns the shares after a waiting request was given up; its flow gets the service back. */
  FairShares abandon(ModelRequest request) {
    return dequeue(request, request.cost() / request.accountRate()).forget(keyOf(request));
  }

  private FairShares dequeue(ModelRequest request, double refund) {
    Flow flow = flowOf(request);
    int waiting = Math.max(0, flow.waiting() - 1);
    double removed = flow.waiting() == 1 ? flow.rate() : 0;
    Flow next = new Flow(flow.end() - refund, waiting, flow.rate());
    return new FairShares(
        virtualTime, flows.plus(keyOf(request), next), Math.max(0, waitingRate - removed));
  }

  private FairShares forget(FlowKey key) {
    Flow flow = flows.get(key);
    boolean idle = flow != null && flow.waiting() == 0 && flow.end() <= virtualTime;
    return idle ? new FairShares(virtualTime, flows.minus(key), waitingRate) : this;
  }

  private Flow flowOf(ModelRequest request) {
    Flow flow = flows.get(keyOf(request));
    return flow == null ? new Flow(virtualTime, 0, request.accountRate()) : flow;
  }

  private static FlowKey keyOf(ModelRequest request) {
    return new FlowKey(request.clientAccount(), request.priority());
  }
}
