/** Metrics of a process and their Prometheus text form. */
package org.parsleyhead.runtime.metrics;
