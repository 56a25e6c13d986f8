/** The demonstration. */
package org.parsleyhead.integration.demo;
