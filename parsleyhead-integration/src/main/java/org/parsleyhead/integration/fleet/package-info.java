/**
 * Starts the programs as separate processes on the loopback address, for the demonstration,
 * measurements and tests.
 */
package org.parsleyhead.integration.fleet;
