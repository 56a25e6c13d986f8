package org.parsleyhead.model;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.nio.file.Path;
import java.util.List;
import kodkod.engine.satlab.SATFactory;

/**
 * Runs the commands of an Alloy model with the default SAT solver, which is written in Java.
 *
 * <p>Immutable, but not thread-safe, because the solver is not.
 */
final class AlloyRunner {

  private static final Path MODEL_DIRECTORY = Path.of("..", "model");

  private final CompModule module;

  /** Parses a file in the model directory. */
  AlloyRunner(String fileName) {
    this.module =
        CompUtil.parseEverything_fromFile(
            A4Reporter.NOP, null, MODEL_DIRECTORY.resolve(fileName).toString());
  }

  /** Returns the names of all commands in file order. */
  List<String> commands() {
    return module.getAllCommands().stream().map(command -> command.label).toList();
  }

  /**
   * Returns whether the solver finds an instance of a command: an example for a {@code run}
   * command, or a counterexample for a {@code check} command.
   */
  boolean findsInstance(String name) {
    A4Options options = new A4Options();
    options.solver = SATFactory.DEFAULT;
    A4Solution solution =
        TranslateAlloyToKodkod.execute_command(
            A4Reporter.NOP, module.getAllReachableSigs(), findCommand(name), options);
    return solution.satisfiable();
  }

  private Command findCommand(String name) {
    return module.getAllCommands().stream()
        .filter(command -> command.label.equals(name))
        .findFirst()
        .orElseThrow(() -> new AssertionError("no command " + name));
  }
}
