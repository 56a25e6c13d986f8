/**
 * The administration port of a process: metrics, health checks, applied tickets and audit trail.
 */
package org.parsleyhead.runtime.administration;
