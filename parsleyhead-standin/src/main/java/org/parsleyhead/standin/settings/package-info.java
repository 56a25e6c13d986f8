/** The settings of the stand-ins. */
package org.parsleyhead.standin.settings;
