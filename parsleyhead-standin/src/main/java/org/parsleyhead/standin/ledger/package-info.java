/** The record of what ran on the upstream stand-ins and which headers they saw. */
package org.parsleyhead.standin.ledger;
