/** The audit trail: what changed, by which ticket, when and from whom it was heard. */
package org.parsleyhead.runtime.audit;
