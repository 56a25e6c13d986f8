package org.parsleyhead.integration.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.parsleyhead.standin.proxy.Intake;

/**
 * Lets sound servers fall silent and go on: one of them, or most of them at once. Some of them also
 * take no connections meanwhile.
 *
 * <p>Confined to one thread.
 */
final class SilentServers {

  private static final double SHARE_AT_ONCE = 0.6;
  private static final int MAXIMUM_INTERVAL_MILLISECONDS = 800;

  private final SoakFleet fleet;
  private final RandomSilences silences;
  private final Random random;
  private final Consumer<String> count;

  /**
   * Creates a draw of silences.
   *
   * @param count receives the kind of each silence
   */
  SilentServers(SoakFleet fleet, long seed, Consumer<String> count) {
    this.fleet = fleet;
    this.silences = new RandomSilences(seed);
    this.random = new Random(seed);
    this.count = count;
  }

  /** Silences servers once, and returns after a time that they have gone on. */
  void silenceAndGoOn() {
    List<SoakFleet.Server> servers = new ArrayList<>(fleet.servers());
    Collections.shuffle(servers, random);
    boolean most = random.nextInt(3) == 0;
    count.accept(most ? "silence_of_most" : "silence");
    int number = most ? (int) Math.ceil(servers.size() * SHARE_AT_ONCE) : 1;
    Duration duration = silences.duration();
    List<SoakFleet.Server> withoutIntake = new ArrayList<>();
    for (SoakFleet.Server server : servers.subList(0, number)) {
      server.standin().fallSilent(duration);
      Intake intake = Intake.values()[random.nextInt(Intake.values().length)];
      if (intake != Intake.ACCEPTING) {
        count.accept("intake_" + intake.name().toLowerCase(java.util.Locale.ROOT));
        server.proxy().setIntake(intake);
        withoutIntake.add(server);
      }
    }
    SoakFaults.sleep(duration.toMillis());
    withoutIntake.forEach(server -> server.proxy().setIntake(Intake.ACCEPTING));
    SoakFaults.sleep(random.nextInt(MAXIMUM_INTERVAL_MILLISECONDS));
  }
}
