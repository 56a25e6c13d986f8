package org.parsleyhead.runtime.settings;

import java.util.List;
import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when settings are invalid; lists every problem. */
public final class SettingsException extends ParsleyheadException {

  /** The stable code of this error. */
  public static final String CODE = "invalid_settings";

  private static final long serialVersionUID = 1L;

  private final String[] problems;

  /** Creates an error for a list of problems. */
  public SettingsException(List<String> problems) {
    super(CODE, String.join("\n", problems));
    this.problems = problems.toArray(new String[0]);
  }

  /** Returns the problems, each on one line. */
  public List<String> problems() {
    return List.of(problems);
  }
}
