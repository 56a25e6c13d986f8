/** Host list, failure detection, and the exclusive rights of each host. */
package org.parsleyhead.core.membership;
