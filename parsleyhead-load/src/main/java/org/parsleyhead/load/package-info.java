/** The program that sends load on a fixed schedule and checks every answer. */
package org.parsleyhead.load;
