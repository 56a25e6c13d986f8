/** The duties of a gateway host, joined by rings. */
package org.parsleyhead.gateway.process;
