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
 * One program of the project, started as a process of its own.
 *
 * <p>Thread-safe. The process is stopped by its identity only.
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
   * @param root the root of the project, which is built
   * @param program the name of the program, which is that of its module
   * @param name the name of this process, for its log
   * @param settings its settings file
   * @param directory where its log goes
   * @throws FleetException if it cannot be started
   */
  public static ProgramProcess start(
      Path root, String program, String name, Path settings, Path directory) {
    return start(root, program, name, settings, directory, List.of(), Map.of());
  }

  /**
   * Starts a program with its settings, further arguments and further environment variables.
   *
   * @param root the root of the project, which is built
   * @param program the name of the program, which is that of its module
   * @param name the name of this process, for its log
   * @param settings its settings file
   * @param directory where its log goes
   * @param arguments its further arguments
   * @param environment its further environment variables
   * @throws FleetException if it cannot be started
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

  /** Tells whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns what the process has written. */
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
      throw new FleetException("interrupted", exception);
    }
  }

  /** Ends the process at once. */
  public void kill() {
    process.destroyForcibly();
    await(STOP_TIMEOUT);
  }

  /** Asks the process to stop and returns its exit status. */
  public int terminate(Duration timeout) {
    process.destroy();
    return await(timeout);
  }

  /** Waits for the end of the process and returns its exit status. */
  public int await(Duration timeout) {
    try {
      if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
        throw new FleetException(name + " did not end in time");
      }
      return process.exitValue();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
  }

  @Override
  public void close() {
    if (process.isAlive()) {
      process.destroyForcibly();
    }
  }
}
