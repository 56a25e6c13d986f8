package org.parsleyhead.runtime;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.AccessTarget.MethodCallTarget;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaMethodCall;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.ParsleyheadException;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.settings.SettingsReader;

@DisplayName("The runtime")
class RuntimeShapeTests {

  private static final JavaClasses RUNTIME =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.parsleyhead.runtime", "org.parsleyhead.core");

  private static final JavaClasses WITH_TESTS =
      new ClassFileImporter().importPackages("org.parsleyhead.runtime");

  @Test
  @DisplayName("never spins while it waits")
  void neverSpins() {
    noClasses().should().callMethodWhere(spinning()).check(WITH_TESTS);
  }

  @Test
  @DisplayName("is tested without mock libraries")
  void usesNoMocks() {
    noClasses().should().dependOnClassesThat().resideInAPackage("org.mockito..").check(WITH_TESTS);
  }

  @Test
  @DisplayName("declares all fields final, except in a duty")
  void keepsFieldsFinal() {
    fields()
        .that()
        .areDeclaredInClassesThat()
        .doNotHaveFullyQualifiedName(Duty.class.getName())
        .should()
        .beFinal()
        .check(RUNTIME);
  }

  @Test
  @DisplayName("derives all exceptions from ParsleyheadException")
  void derivesExceptions() {
    classes()
        .that()
        .areAssignableTo(RuntimeException.class)
        .should()
        .beAssignableTo(ParsleyheadException.class)
        .check(RUNTIME);
  }

  @Test
  @DisplayName("keeps decisions, parsing and rendering free of sockets, files and threads")
  void keepsDecisionsPure() {
    noClasses()
        .that()
        .haveNameMatching(
            ".*\\.(AuditTrail|AuditEntry|AuditEvent|AuditChange|PrometheusText|AdministrationRouter"
                + "|ArgumentParser|HelpText|MetricName|Readiness|TicketStatus)(\\$.*)?")
        .or()
        .areAssignableTo(SettingsReader.class)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.io..", "java.net..", "java.nio..", "java.util.concurrent..")
        .check(RUNTIME);
  }

  private static DescribedPredicate<JavaMethodCall> spinning() {
    return DescribedPredicate.describe(
        "a call that spins",
        call -> {
          MethodCallTarget target = call.getTarget();
          return target.getOwner().isEquivalentTo(Thread.class)
              && (Set.of("yield").contains(target.getName())
                  || target.getName().startsWith("onSpin"));
        });
  }
}
