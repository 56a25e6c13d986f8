/** The published host list, who lives, and which exclusive rights a host may use. */
package org.parsleyhead.core.membership;
