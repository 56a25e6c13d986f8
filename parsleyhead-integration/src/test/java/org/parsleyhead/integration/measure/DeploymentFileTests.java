package org.parsleyhead.integration.measure;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleyhead.integration.fleet.Fleets;

@DisplayName("The stand-in settings of a deployment")
class DeploymentFileTests {

  @ParameterizedTest
  @CsvSource({"accra, 12, 3, 4", "midlands, 6, 4, 2"})
  @DisplayName("are read from the file without endpoints")
  void areRead(String name, int engines, int services, int loadsPerSecond) {
    DeploymentFile file =
        DeploymentFile.read(Fleets.projectRoot().resolve("etc/standin-" + name + ".toml"));
    assertAll(
        () -> assertEquals(engines, file.engines()),
        () -> assertEquals(services, file.services().size()),
        () -> assertEquals(loadsPerSecond, file.number("weights.loads_per_second")),
        () -> assertTrue(file.extra().contains("engine.engine-3.checks_fencing = false")),
        () -> assertFalse(file.extra().contains("endpoint")));
  }
}
