/** Proxies between all entry hosts, with a host list for each that leads through them. */
package org.parsleyhead.standin.mesh;
