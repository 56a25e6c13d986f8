/** Connections to instances. */
package org.parsleyhead.gateway.upstreams;
