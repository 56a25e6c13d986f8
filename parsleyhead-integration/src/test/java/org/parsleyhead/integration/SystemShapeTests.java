package org.parsleyhead.integration;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.AccessTarget.MethodCallTarget;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaMethodCall;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.ParsleyheadException;

@DisplayName("The architecture of the system")
class SystemShapeTests {

  private static final JavaClasses SYSTEM =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.parsleyhead");

  @Test
  @DisplayName("contains no spin waits")
  void neverSpins() {
    noClasses().should().callMethodWhere(isSpinWait()).check(SYSTEM);
  }

  @Test
  @DisplayName("has dependencies in one direction only, from the programs to the core")
  void dependsInOneDirection() {
    layeredArchitecture()
        .consideringOnlyDependenciesInAnyPackage("org.parsleyhead..")
        .layer("core")
        .definedBy("org.parsleyhead.core..")
        .layer("codec")
        .definedBy("org.parsleyhead.codec..")
        .layer("runtime")
        .definedBy("org.parsleyhead.runtime..")
        .layer("entry")
        .definedBy("org.parsleyhead.entry..")
        .layer("gateway")
        .definedBy("org.parsleyhead.gateway..")
        .layer("platform")
        .definedBy("org.parsleyhead.platform..")
        .layer("operator")
        .definedBy("org.parsleyhead.operator..")
        .layer("standin")
        .definedBy("org.parsleyhead.standin..")
        .layer("load")
        .definedBy("org.parsleyhead.load..")
        .layer("integration")
        .definedBy("org.parsleyhead.integration..")
        .whereLayer("integration")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("platform")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("gateway")
        .mayOnlyBeAccessedByLayers("platform")
        .whereLayer("entry")
        .mayOnlyBeAccessedByLayers("integration")
        .whereLayer("operator")
        .mayOnlyBeAccessedByLayers("integration")
        .whereLayer("load")
        .mayOnlyBeAccessedByLayers("integration")
        .whereLayer("codec")
        .mayOnlyBeAccessedByLayers(
            "entry", "gateway", "platform", "operator", "standin", "load", "integration")
        .whereLayer("runtime")
        .mayOnlyBeAccessedByLayers(
            "entry", "gateway", "platform", "operator", "standin", "load", "integration")
        .whereLayer("core")
        .mayNotAccessAnyLayer()
        .check(SYSTEM);
  }

  @Test
  @DisplayName("has no mutable static fields")
  void hasNoGlobalState() {
    fields().that().areStatic().should().beFinal().check(SYSTEM);
  }

  @Test
  @DisplayName("defines only exceptions that extend ParsleyheadException, which carries a code")
  void extendsOwnExceptionType() {
    classes()
        .that()
        .areAssignableTo(Throwable.class)
        .should()
        .beAssignableTo(ParsleyheadException.class)
        .check(SYSTEM);
  }

  private static DescribedPredicate<JavaMethodCall> isSpinWait() {
    return DescribedPredicate.describe(
        "a call that yields or spins",
        call -> {
          MethodCallTarget target = call.getTarget();
          return target.getOwner().isEquivalentTo(Thread.class)
              && (target.getName().equals("yield") || target.getName().startsWith("onSpin"));
        });
  }
}
