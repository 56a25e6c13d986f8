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
 * Runs the commands of one Alloy file with the solver that is written in Java.
 *
 * <p>Immutable; not thread-safe, since the solver is not.
 */
final class AlloyRunner {

  private static final Path MODEL_DIRECTORY = Path.of("..", "model");

  private final CompModule module;

  /** Parses a file of the model directory. */
  AlloyRunner(String fileName) {
    this.module =
        CompUtil.parseEverything_fromFile(
            A4Reporter.NOP, null, MODEL_DIRECTORY.resolve(fileName).toString());
  }

  /** Returns the names of all commands in the order of the file. */
  List<String> commands() {
    return module.getAllCommands().stream().map(command -> command.label).toList();
  }

  /**
   * Tells whether the solver finds an instance: of a {@code run} command an example, of a {@code
   * check} command a counterexample.
   */
  boolean findsInstance(String name) {
    A4Options options = new A4Options();
    options.solver = SATFactory.DEFAULT;
    A4Solution solution =
        TranslateAlloyToKodkod.execute_command(
            A4Reporter.NOP, module.getAllReachableSigs(), find(name), options);
    return solution.satisfiable();
  }

  private Command find(String name) {
    return module.getAllCommands().stream()
        .filter(command -> command.label.equals(name))
        .findFirst()
        .orElseThrow(() -> new AssertionError("no command " + name));
  }
}
