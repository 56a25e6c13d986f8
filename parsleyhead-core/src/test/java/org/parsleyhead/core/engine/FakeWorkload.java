package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.scheduling.ModelRequest;
import org.parsleyhead.core.ticket.Priority;

/**
 * Submits requests with Poisson arrivals and Zipf-distributed adapter popularity to a fake fleet.
 * Not thread-safe.
 */
final class FakeWorkload {

  private static final int PROMPT_TOKENS = 200;

  private final FakeFleet fleet;
  private final double[] popularity;
  private final List<ClientAccountName> accounts;
  private final double[] requestsPerSecondByAccount;
  private final double accountRate;
  private int popularityOffset;
  private double requestsPerSecond;
  private long nextRequest;

  FakeWorkload(
      FakeFleet fleet,
      int adapters,
      double exponent,
      double[] requestsPerSecondByAccount,
      double accountRate) {
    this.fleet = fleet;
    this.popularity = cumulativePopularity(adapters, exponent);
    this.requestsPerSecondByAccount = requestsPerSecondByAccount;
    this.accountRate = accountRate;
    this.accounts =
        java.util.stream.IntStream.range(0, requestsPerSecondByAccount.length)
            .mapToObj(number -> new ClientAccountName("account-" + number))
            .toList();
    for (double rate : requestsPerSecondByAccount) {
      requestsPerSecond += rate;
    }
  }

  void start() {
    fleet.timeline().after(arrivalGapMilliseconds(), this::arrive);
  }

  /** Shifts the popularity ranks of the adapters by an offset. */
  void shiftPopularity(int offset) {
    popularityOffset = offset;
  }

  private void arrive() {
    List<HostName> hosts = fleet.hostNames();
    HostName host = hosts.get(fleet.timeline().random().nextInt(hosts.size()));
    if (!fleet.host(host).isPaused()) {
      fleet.submit(host, request());
    }
    fleet.timeline().after(arrivalGapMilliseconds(), this::arrive);
  }

  private double arrivalGapMilliseconds() {
    return -Math.log(1 - fleet.timeline().random().nextDouble()) * 1000 / requestsPerSecond;
  }

  private ModelRequest request() {
    var random = fleet.timeline().random();
    boolean batch = random.nextDouble() < 0.3;
    return new ModelRequest(
        new RequestIdentifier("request-" + nextRequest++),
        new ModelName("base"),
        new AdapterReference(new AdapterName("adapter-" + adapter()), 1),
        accounts.get(account()),
        accountRate,
        batch ? Priority.BATCH : Priority.INTERACTIVE,
        PROMPT_TOKENS,
        batch ? 200 + random.nextInt(200) : 20 + random.nextInt(100),
        OptionalLong.empty(),
        Duration.ofSeconds(batch ? 60 : 15),
        Set.of());
  }

  private int account() {
    double sample = fleet.timeline().random().nextDouble() * requestsPerSecond;
    int account = 0;
    while (account < requestsPerSecondByAccount.length - 1
        && sample > requestsPerSecondByAccount[account]) {
      sample -= requestsPerSecondByAccount[account];
      account++;
    }
    return account;
  }

  private int adapter() {
    double sample = fleet.timeline().random().nextDouble();
    int found = java.util.Arrays.binarySearch(popularity, sample);
    int rank = found >= 0 ? found : -found - 1;
    return (rank + popularityOffset) % popularity.length;
  }

  private static double[] cumulativePopularity(int adapters, double exponent) {
    double[] cumulative = new double[adapters];
    double total = 0;
    for (int rank = 0; rank < adapters; rank++) {
      total += 1 / Math.pow(rank + 1, exponent);
      cumulative[rank] = total;
    }
    for (int rank = 0; rank < adapters; rank++) {
      cumulative[rank] /= total;
    }
    return cumulative;
  }
}
