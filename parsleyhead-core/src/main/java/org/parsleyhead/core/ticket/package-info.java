/**
 * Decides which configuration is in force on a host: declared items, the change tickets that carry
 * them, the catalogue that merges tickets, and its replication between hosts.
 *
 * <p>Hosts read tickets and snapshots from the configuration service, forward them to each other
 * and compare their catalogues, so that all hosts converge.
 */
package org.parsleyhead.core.ticket;
