package org.parsleyhead.runtime.command;

/** The version shared by all programs. Stateless and thread-safe. */
final class ProgramVersion {

  private static final String UNPACKAGED_VERSION = "0.1.0-SNAPSHOT";

  private ProgramVersion() {}

  /** Returns the implementation version in the JAR manifest, or a default outside a JAR. */
  static String ofProgram() {
    String version = ProgramVersion.class.getPackage().getImplementationVersion();
    return version == null ? UNPACKAGED_VERSION : version;
  }
}
