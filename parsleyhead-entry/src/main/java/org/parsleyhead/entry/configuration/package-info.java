/** The control plane of a host, and the clients that read configuration and host list over HTTP. */
package org.parsleyhead.entry.configuration;
