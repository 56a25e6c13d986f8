/** Declarations in TOML: read whole, checked whole, refused with all problems at once. */
package org.parsleyhead.operator.declaration;
