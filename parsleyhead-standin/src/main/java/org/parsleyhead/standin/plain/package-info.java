/** Stand-ins for plain services: dispatch, payment, booking and stock servers. */
package org.parsleyhead.standin.plain;
