/** The operators' program: it checks and renders declarations and asks hosts for their state. */
package org.parsleyhead.operator;
