/** The settings of a load. */
package org.parsleyhead.load.settings;
