/** Runs the Alloy models of the protocols. */
package org.parsleyhead.model;
