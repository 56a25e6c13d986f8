/** The administration interface through which tests and operators set values and inject faults. */
package org.parsleyhead.standin.administration;
