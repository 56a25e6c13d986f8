/** Choice of an upstream for attempts at plain services, by health, distance and load. */
package org.parsleyhead.core.routing;
