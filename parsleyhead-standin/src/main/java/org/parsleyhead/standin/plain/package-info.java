/** Stand-ins for plain services, such as dispatch, payment, booking and stock servers. */
package org.parsleyhead.standin.plain;
