/** Announced instances of services, and the adapters that they hold. */
package org.parsleyhead.core.instance;
