/** The interfaces that the adapter to a platform implements: names and encodings on the wire. */
package org.parsleyhead.gateway.api;
