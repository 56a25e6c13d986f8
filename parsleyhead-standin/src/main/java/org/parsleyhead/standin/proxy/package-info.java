/** A TCP proxy that injects faults, for each direction apart. */
package org.parsleyhead.standin.proxy;
