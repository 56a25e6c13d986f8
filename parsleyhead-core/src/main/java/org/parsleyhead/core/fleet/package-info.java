/**
 * Coordination of the hosts without a published host list: failure detection by heartbeats,
 * majority leases on the model servers, and scheduling of adapter loads by the lease holder.
 */
package org.parsleyhead.core.fleet;
