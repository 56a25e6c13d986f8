/** Sockets towards upstreams. */
package org.parsleyhead.entry.upstream;
