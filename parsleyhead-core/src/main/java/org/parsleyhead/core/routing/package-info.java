/** The choice among the plain services of a route, and the health of these. */
package org.parsleyhead.core.routing;
