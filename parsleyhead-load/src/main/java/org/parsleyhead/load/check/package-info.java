/** Verification of responses against their requests. */
package org.parsleyhead.load.check;
