package org.parsleyhead.standin;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Transition;

@DisplayName("The code of the stand-ins")
class StandinShapeTests {

  private static final JavaClasses STANDIN =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.parsleyhead.standin");

  @Test
  @DisplayName("decides without sockets, files, threads or clocks")
  void decideWithoutInputOrOutput() {
    noClasses()
        .that()
        .implement(Transition.class)
        .or()
        .haveSimpleName("BatchScheduler")
        .or()
        .haveSimpleName("AdapterOrderRules")
        .or()
        .haveSimpleName("LoadReports")
        .or()
        .haveSimpleName("PrefixCache")
        .or()
        .haveSimpleName("DirectionState")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io..",
            "java.net..",
            "java.nio.file..",
            "java.util.concurrent..",
            "io.netty..",
            "org.asynchttpclient..",
            "com.fasterxml.jackson..",
            "org.parsleyhead.runtime..",
            "org.parsleyhead.standin.http..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(STANDIN);
  }

  @Test
  @DisplayName("has no thread that spins while it waits")
  void doNotSpin() {
    noClasses()
        .should()
        .callMethod(Thread.class, "onSpinWait")
        .orShould()
        .callMethod(Thread.class, "yield")
        .check(STANDIN);
  }
}
