/** The sockets and duties of a gateway host, which reads from the platform itself. */
package org.parsleyhead.gateway;
