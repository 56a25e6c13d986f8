/** Stand-ins for the configuration service, the host list and the weight store. */
package org.parsleyhead.standin.platform;
