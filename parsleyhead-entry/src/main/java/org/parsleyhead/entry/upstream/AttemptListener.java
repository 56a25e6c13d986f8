package org.parsleyhead.entry.upstream;

import java.util.function.Consumer;
import org.parsleyhead.core.request.RequestEvent;

/** Receives the events of attempts. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface AttemptListener extends Consumer<RequestEvent> {}
