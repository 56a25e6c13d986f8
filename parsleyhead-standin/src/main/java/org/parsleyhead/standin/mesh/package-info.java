/** Fault proxies between all entry hosts, with host lists that route traffic through them. */
package org.parsleyhead.standin.mesh;
