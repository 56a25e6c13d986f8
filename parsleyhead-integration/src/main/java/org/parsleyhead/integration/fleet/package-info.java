/** Starts the real programs as separate processes on loopback, for the demonstration and tests. */
package org.parsleyhead.integration.fleet;
