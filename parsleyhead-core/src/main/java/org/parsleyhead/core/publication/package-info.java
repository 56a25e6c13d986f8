/**
 * Maintenance of a copy of the data that the platform publishes, by reads from the platform and
 * updates from other hosts.
 */
package org.parsleyhead.core.publication;
