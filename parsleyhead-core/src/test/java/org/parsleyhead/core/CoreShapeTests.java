package org.parsleyhead.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The core")
class CoreShapeTests {

  private static final JavaClasses CORE =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.parsleyhead.core");

  @Test
  @DisplayName("uses no sockets, files, threads, clocks, loggers or random sources")
  void hasNoInputOrOutput() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io..",
            "java.net..",
            "java.nio.file..",
            "java.nio.channels..",
            "java.util.concurrent..",
            "java.util.logging..",
            "com.google.common.flogger..",
            "io.netty..")
        .check(CORE);
    noClasses()
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.lang.Thread")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.util.Random")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.time.Clock")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(Math.class, "random")
        .check(CORE);
  }

  @Test
  @DisplayName("depends on the JDK and on persistent collections only")
  void dependsOnFewLibraries() {
    classes()
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage("org.parsleyhead.core..", "java..", "org.pcollections..")
        .check(CORE);
  }

  @Test
  @DisplayName("keeps all fields final")
  void isImmutable() {
    fields().should().beFinal().check(CORE);
  }
}
