package org.parsleyhead.integration.soak;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import org.parsleyhead.platform.standin.AnswerPlan;
import org.parsleyhead.platform.standin.AnswerPlan.Kind;
import org.parsleyhead.platform.standin.AnswerPlan.SecondAnswer;

/**
 * The answers of servers that refuse and fail many requests, and answer half of all twice.
 *
 * <p>Thread-safe. Most second answers come within the time in which a refused request is sent
 * again, some seconds later.
 */
final class StutteringAnswers implements Supplier<AnswerPlan> {

  private static final int MAXIMUM_WORK_MILLISECONDS = 40;
  private static final int MAXIMUM_SHORT_DELAY_MILLISECONDS = 160;
  private static final int MAXIMUM_LONG_DELAY_MILLISECONDS = 3_000;

  private final Random random;

  StutteringAnswers(long seed) {
    this.random = new Random(seed);
  }

  @Override
  public synchronized AnswerPlan get() {
    Duration work = Duration.ofMillis(random.nextInt(MAXIMUM_WORK_MILLISECONDS));
    Optional<SecondAnswer> second =
        random.nextBoolean()
            ? Optional.of(new SecondAnswer(randomKind(), randomDelay()))
            : Optional.empty();
    return new AnswerPlan(randomKind(), work, second);
  }

  private Kind randomKind() {
    return switch (random.nextInt(10)) {
      case 0, 1, 2, 3 -> Kind.REFUSAL;
      case 4 -> Kind.FAILURE;
      default -> Kind.SUCCESS;
    };
  }

  private Duration randomDelay() {
    boolean late = random.nextInt(5) == 0;
    return Duration.ofMillis(
        random.nextInt(late ? MAXIMUM_LONG_DELAY_MILLISECONDS : MAXIMUM_SHORT_DELAY_MILLISECONDS));
  }
}
