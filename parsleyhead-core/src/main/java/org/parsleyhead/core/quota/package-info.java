/** Rate and burst of client accounts, in tokens, over all entry hosts of a cell together. */
package org.parsleyhead.core.quota;
