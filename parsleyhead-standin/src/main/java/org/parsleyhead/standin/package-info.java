/** Stand-ins for the platform services, the engines and the plain services in one process. */
package org.parsleyhead.standin;
