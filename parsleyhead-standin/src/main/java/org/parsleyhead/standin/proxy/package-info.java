/** A TCP proxy that injects faults separately in each direction. */
package org.parsleyhead.standin.proxy;
