/** The sockets and duties of a host that reads from the platform itself. */
package org.parsleyhead.gateway;
