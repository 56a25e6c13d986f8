package org.parsleyhead.entry.process;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.core.scheduling.RefusalReason;
import org.parsleyhead.core.scheduling.RequestOutcome;
import org.parsleyhead.core.scheduling.SchedulingEffect;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.UpstreamItem;

/** Executes the effects of the scheduling duty. Runs on its thread and does not block. */
final class SchedulingEffectExecutor implements Consumer<SchedulingEffect> {

  private final Rings rings;
  private final PeerRouter peers;
  private final Supplier<Catalogue> catalogue;

  SchedulingEffectExecutor(Rings rings, PeerRouter peers, Supplier<Catalogue> catalogue) {
    this.rings = Preconditions.requireNonNull(rings, "rings");
    this.peers = Preconditions.requireNonNull(peers, "peers");
    this.catalogue = Preconditions.requireNonNull(catalogue, "catalogue");
  }

  @Override
  public void accept(SchedulingEffect effect) {
    if (effect instanceof SchedulingEffect.Send send) {
      peers.send(send.host(), send.message());
    } else if (effect instanceof SchedulingEffect.Dispatch dispatch) {
      dispatch(dispatch);
    } else if (effect instanceof SchedulingEffect.Refuse refuse) {
      rings
          .request()
          .offer(
              new RequestEvent.NotDispatched(
                  refuse.identifier(),
                  explanation(refuse.reason()),
                  Optional.of(refuse.retryAfter())));
    }
  }

  private void dispatch(SchedulingEffect.Dispatch dispatch) {
    Optional<UpstreamItem> upstream = catalogue.get().upstream(dispatch.upstream());
    RequestEvent event =
        upstream.isPresent()
            ? new RequestEvent.Dispatched(
                dispatch.request().identifier(), upstream.get(), dispatch.writeBefore())
            : new RequestEvent.NotDispatched(
                dispatch.request().identifier(),
                "the engine is no longer declared",
                Optional.empty());
    if (!rings.request().offer(event)) {
      rings
          .scheduling()
          .offer(
              new SchedulingEvent.Finished(
                  dispatch.request().identifier(), RequestOutcome.ABANDONED, 0));
    }
  }

  private static String explanation(RefusalReason reason) {
    return switch (reason) {
      case OVERLOADED -> "the engines cannot serve the request before its deadline";
      case DEADLINE_PASSED -> "the request waited for an engine until its deadline";
      case NO_ENGINE -> "no engine may serve the request now";
    };
  }
}
