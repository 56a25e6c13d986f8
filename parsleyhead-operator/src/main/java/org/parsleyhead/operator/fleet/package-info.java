/** Questions to the operators' ports of running hosts. */
package org.parsleyhead.operator.fleet;
