/**
 * The command line for operators: it checks and renders declarations and queries the state of
 * hosts.
 */
package org.parsleyhead.operator;
