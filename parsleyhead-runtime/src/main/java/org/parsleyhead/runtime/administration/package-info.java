/** The operators' port of a process: metrics, checks, tickets in force and the audit trail. */
package org.parsleyhead.runtime.administration;
