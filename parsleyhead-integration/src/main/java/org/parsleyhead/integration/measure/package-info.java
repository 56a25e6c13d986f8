/**
 * Experiments on one machine with the programs as separate processes, and benchmarks of the cores
 * in one process.
 */
package org.parsleyhead.integration.measure;
