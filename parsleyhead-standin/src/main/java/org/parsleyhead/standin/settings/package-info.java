/** The settings of a stand-in process and their reader. */
package org.parsleyhead.standin.settings;
