package org.parsleyhead.runtime.command;

/** The version of the programs, which are released together. Stateless and thread-safe. */
final class ProgramVersion {

  private static final String UNPACKAGED = "0.1.0-SNAPSHOT";

  private ProgramVersion() {}

  /** Returns the version that the archive of this class states. */
  static String ofProgram() {
    String version = ProgramVersion.class.getPackage().getImplementationVersion();
    return version == null ? UNPACKAGED : version;
  }
}
