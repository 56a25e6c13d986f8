/** Declarations in TOML, read and validated as a whole; all problems are reported at once. */
package org.parsleyhead.operator.declaration;
