/** Connections between hosts. */
package org.parsleyhead.gateway.peers;
