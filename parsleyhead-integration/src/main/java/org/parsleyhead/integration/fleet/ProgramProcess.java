package org.parsleyhead.integration.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A program of the project in a separate process.
 *
 * <p>Thread-safe. Signals are sent to the process identifier only.
 */
public final class ProgramProcess implements AutoCloseable {

  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);

  private final String name;
  private final Path log;
  private final Process process;

  private ProgramProcess(String name, Path log, Process process) {
    this.name = name;
    this.log = log;
    this.process = process;
  }

  /**
   * Starts a program with its settings.
   *
   * @param root the project root; the project must be built
   * @param program the launcher in {@code bin}, which has the name of the program's module
   * @param name the name of this process and of its log file
   * @param settings the settings file
   * @param directory the directory for its log
   * @throws FleetException if the process cannot be started
   */
  public static ProgramProcess start(
      Path root, String program, String name, Path settings, Path directory) {
    return start(root, program, name, settings, directory, List.of(), Map.of());
  }

  /**
   * Starts a program with its settings, further arguments and further environment variables.
   *
   * @param root the project root; the project must be built
   * @param program the launcher in {@code bin}, which has the name of the program's module
   * @param name the name of this process and of its log file
   * @param settings the settings file
   * @param directory the directory for its log
   * @param arguments further arguments
   * @param environment further environment variables
   * @throws FleetException if the process cannot be started
   */
  public static ProgramProcess start(
      Path root,
      String program,
      String name,
      Path settings,
      Path directory,
      List<String> arguments,
      Map<String, String> environment) {
    Path log = directory.resolve(name + ".log");
    List<String> command = new ArrayList<>();
    command.add(root.resolve("bin").resolve(program).toString());
    command.add("--settings");
    command.add(settings.toString());
    command.addAll(arguments);
    try {
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().putAll(environment);
      builder.redirectErrorStream(true);
      builder.redirectOutput(log.toFile());
      return new ProgramProcess(name, log, builder.start());
    } catch (IOException exception) {
      throw new FleetException("cannot start " + name, exception);
    }
  }

  /** Returns the name of this process. */
  public String name() {
    return name;
  }

  /** Returns whether the process is running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the output of the process so far, both standard and error output. */
  public String output() {
    try {
      return Files.readString(log);
    } catch (IOException exception) {
      throw new FleetException("cannot read the log of " + name, exception);
    }
  }

  /** Sends a signal, such as {@code STOP} or {@code CONT}. */
  public void signal(String signal) {
    try {
      int status =
          new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      if (status != 0) {
        throw new FleetException("cannot send " + signal + " to " + name);
      }
    } catch (IOException exception) {
      throw new FleetException("cannot send " + signal + " to " + name, exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted while sending a signal", exception);
    }
  }

  /** Kills the process and waits for its exit. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(STOP_TIMEOUT);
  }

  /**
   * Sends {@code SIGTERM} to the process and returns its exit status.
   *
   * @throws FleetException if it does not exit within the timeout
   */
  public int terminate(Duration timeout) {
    process.destroy();
    return awaitExit(timeout);
  }

  /**
   * Waits for the exit of the process and returns its exit status.
   *
   * @throws FleetException if it does not exit within the timeout
   */
  public int awaitExit(Duration timeout) {
    try {
      if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
        throw new FleetException(name + " did not exit in time");
      }
      return process.exitValue();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted while waiting for a process to exit", exception);
    }
  }

  @Override
  public void close() {
    if (process.isAlive()) {
      process.destroyForcibly();
    }
  }
}
