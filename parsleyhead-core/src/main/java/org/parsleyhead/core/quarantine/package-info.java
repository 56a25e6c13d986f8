/**
 * Decides which requests may end the servers that they are sent to, without input or output.
 *
 * <p>A request can end the server that begins to answer it, and so can each one that has a trait in
 * common with it. Hosts collect evidence about traits, exchange it, and draw the same conclusions.
 */
package org.parsleyhead.core.quarantine;
