/** The settings of a load run. */
package org.parsleyhead.load.settings;
