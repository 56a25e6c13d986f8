package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.ticket.Priority;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Start-time fair queueing between client accounts, in tokens.
 *
 * <p>Virtual time is measured in seconds of an account's rate. The start tag of a request is the
 * later of the virtual time and the finish tag of the previous request of its flow. So a flow with
 * much more demand than the others is served after them, and an idle flow accumulates no credit.
 *
 * <p>Immutable and thread-safe. Idle flows that are not ahead of virtual time have no state.
 *
 * @param virtualTime the highest start tag of a dispatched request
 * @param flows the flows that have waiting requests or are ahead of virtual time
 * @param waitingRate the sum of the rates of flows with waiting requests, in tokens per second
 */
record FairShares(double virtualTime, PMap<FlowKey, Flow> flows, double waitingRate) {

  /** The flow of the requests of one client account with one priority. */
  record FlowKey(ClientAccountName clientAccount, Priority priority) {}

  /**
   * The finish tag of the flow's last request, the number of its waiting requests, and its rate in
   * tokens per second.
   */
  record Flow(double finishTag, int waiting, double rate) {}

  static FairShares empty() {
    return new FairShares(0, HashTreePMap.empty(), 0);
  }

  /** Returns the start tag that a request would get. */
  double startTagOf(ModelRequest request) {
    Flow flow = flows.get(keyOf(request));
    return flow == null ? virtualTime : Math.max(virtualTime, flow.finishTag());
  }

  /** Returns the shares with a request added to the waiting ones. */
  FairShares enqueue(ModelRequest request) {
    Flow flow = flowOf(request);
    double finishTag = startTagOf(request) + request.cost() / request.accountRate();
    double added = flow.waiting() == 0 ? flow.rate() : 0;
    return new FairShares(
        virtualTime,
        flows.plus(keyOf(request), new Flow(finishTag, flow.waiting() + 1, flow.rate())),
        waitingRate + added);
  }

  /** Returns the shares after the dispatch of a request. */
  FairShares dispatch(WaitingRequest waiting) {
    FairShares dequeued = dequeue(waiting.request(), 0);
    return new FairShares(
            Math.max(virtualTime, waiting.startTag()), dequeued.flows, dequeued.waitingRate)
        .dropIfIdle(keyOf(waiting.request()));
  }

  /**
   * Returns the shares after the cancellation of a waiting request; its cost is refunded to its
   * flow.
   */
  FairShares cancel(ModelRequest request) {
    return dequeue(request, request.cost() / request.accountRate()).dropIfIdle(keyOf(request));
  }

  private FairShares dequeue(ModelRequest request, double refund) {
    Flow flow = flowOf(request);
    int waiting = Math.max(0, flow.waiting() - 1);
    double removed = flow.waiting() == 1 ? flow.rate() : 0;
    Flow next = new Flow(flow.finishTag() - refund, waiting, flow.rate());
    return new FairShares(
        virtualTime, flows.plus(keyOf(request), next), Math.max(0, waitingRate - removed));
  }

  private FairShares dropIfIdle(FlowKey key) {
    Flow flow = flows.get(key);
    boolean idle = flow != null && flow.waiting() == 0 && flow.finishTag() <= virtualTime;
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
