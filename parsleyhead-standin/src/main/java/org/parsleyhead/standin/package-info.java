/** The program that stands in for the platform, the engines and the plain services. */
package org.parsleyhead.standin;
