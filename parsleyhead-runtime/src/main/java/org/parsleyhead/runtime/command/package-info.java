/** What all programs share: arguments, help, exit codes and planned stops. */
package org.parsleyhead.runtime.command;
