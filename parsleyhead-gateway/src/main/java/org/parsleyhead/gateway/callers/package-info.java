/** The port for callers and their connections. */
package org.parsleyhead.gateway.callers;
