/** The command line shared by all programs: arguments, help, exit codes and graceful shutdown. */
package org.parsleyhead.runtime.command;
