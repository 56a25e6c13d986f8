/**
 * Decides to which servers requests may be sent at all: evacuated failure domains, servers that are
 * cold after a start, and home regions. Independent of the messages that carry requests.
 */
package org.parsleyhead.core.placement;
