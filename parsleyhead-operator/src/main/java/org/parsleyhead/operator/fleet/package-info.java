/** Queries to the administration ports of running hosts. */
package org.parsleyhead.operator.fleet;
