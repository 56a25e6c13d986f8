/** TCP listeners that can be closed and reopened. */
package org.parsleyhead.standin.tcp;
