/** Reads the published configuration and host list over HTTP. */
package org.parsleyhead.entry.configuration;
