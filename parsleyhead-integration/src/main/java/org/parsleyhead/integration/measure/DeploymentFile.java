package org.parsleyhead.integration.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.parsleyhead.integration.fleet.FleetException;
import org.parsleyhead.integration.fleet.StandinLayout;

/**
 * The settings of the stand-ins of a deployment, read from a file without the endpoints.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engines the number of engines, named {@code engine-1} and so on
 * @param services the names of the plain services
 * @param extra all other settings, one a line, each with its full path
 */
record DeploymentFile(int engines, List<String> services, String extra) {

  private static final Pattern TABLE = Pattern.compile("\\[([\\w.-]+)\\]");
  private static final String ENGINE_PREFIX = "engine.";
  private static final String SERVICE_PREFIX = "service.";

  DeploymentFile {
    services = List.copyOf(services);
  }

  /** Reads the settings from a TOML file. */
  static DeploymentFile read(Path file) {
    int engines = 0;
    List<String> services = new ArrayList<>();
    StringBuilder extra = new StringBuilder();
    String table = "";
    for (String line : lines(file)) {
      Matcher header = TABLE.matcher(line);
      if (header.matches()) {
        table = header.group(1);
        engines += table.startsWith(ENGINE_PREFIX) ? 1 : 0;
        if (table.startsWith(SERVICE_PREFIX)) {
          services.add(table.substring(SERVICE_PREFIX.length()));
        }
      } else if (line.contains("=") && !line.startsWith("#") && !line.startsWith("endpoint")) {
        extra.append(table).append('.').append(line).append('\n');
      }
    }
    return new DeploymentFile(engines, services, extra.toString());
  }

  /** Returns a layout of stand-ins with these settings on free ports. */
  StandinLayout onFreePorts() {
    return StandinLayout.onFreePorts(engines, services).withExtraSettings(extra);
  }

  /** Returns the value of an integer setting, such as {@code engines.adapter_slots}. */
  int number(String path) {
    return extra
        .lines()
        .filter(line -> line.startsWith(path + " ="))
        .map(line -> Integer.valueOf(line.substring(line.indexOf('=') + 1).strip()))
        .findFirst()
        .orElseThrow(() -> new FleetException(path + " is missing in the deployment file"));
  }

  /** Returns the lines of a file. */
  static List<String> lines(Path file) {
    try {
      return Files.readAllLines(file);
    } catch (IOException exception) {
      throw new FleetException("cannot read " + file, exception);
    }
  }
}
