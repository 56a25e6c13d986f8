/** The operator role. */
package org.parsleyhead.operator;
