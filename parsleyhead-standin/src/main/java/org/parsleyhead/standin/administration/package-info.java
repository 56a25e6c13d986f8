/** The port through which tests and people fill the stand-ins and switch their faults. */
package org.parsleyhead.standin.administration;
