/** The ledger of the requests that upstream stand-ins handled, with the headers they received. */
package org.parsleyhead.standin.ledger;
