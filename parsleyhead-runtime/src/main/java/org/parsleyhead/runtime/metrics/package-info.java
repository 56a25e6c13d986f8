/** Metrics of a process and their Prometheus text format. */
package org.parsleyhead.runtime.metrics;
