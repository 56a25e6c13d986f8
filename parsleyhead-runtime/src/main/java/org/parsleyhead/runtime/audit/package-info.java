/** The audit trail: each applied change with its ticket, time and source. */
package org.parsleyhead.runtime.audit;
