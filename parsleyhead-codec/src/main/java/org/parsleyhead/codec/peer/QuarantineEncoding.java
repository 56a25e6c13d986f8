package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.fleet.QuarantineReport;
import org.parsleyhead.core.quarantine.Trait;
import org.parsleyhead.core.quarantine.TraitReport;

/** The encoding of the evidence about requests that may end their servers. Stateless. */
final class QuarantineEncoding {

  /** Stands for the age of what is not known. */
  private static final long UNKNOWN_AGE = -1;

  private QuarantineEncoding() {}

  static void write(QuarantineReport message, MessagePacker packer) throws IOException {
    packer.packArrayHeader(message.reports().size());
    for (TraitReport report : message.reports()) {
      packer.packString(report.trait().kind().label()).packLong(report.trait().identity());
      packer.packLong(report.answeredAgeMilliseconds().orElse(UNKNOWN_AGE));
      packer.packArrayHeader(report.losses().size());
      for (TraitReport.ReportedLoss loss : report.losses()) {
        packer.packLong(loss.serverRun()).packBoolean(loss.answerBegun());
        packer.packLong(loss.ageMilliseconds());
      }
    }
  }

  static QuarantineReport read(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<TraitReport> reports = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      Trait trait = new Trait(readTraitKind(unpacker.unpackString()), unpacker.unpackLong());
      long answeredAge = unpacker.unpackLong();
      int losses = unpacker.unpackArrayHeader();
      List<TraitReport.ReportedLoss> reported = new ArrayList<>();
      for (int loss = 0; loss < losses; loss++) {
        reported.add(
            new TraitReport.ReportedLoss(
                unpacker.unpackLong(), unpacker.unpackBoolean(), unpacker.unpackLong()));
      }
      reports.add(
          new TraitReport(
              trait,
              answeredAge == UNKNOWN_AGE ? Optional.empty() : Optional.of(answeredAge),
              reported));
    }
    return new QuarantineReport(reports);
  }

  private static Trait.Kind readTraitKind(String label) {
    return Arrays.stream(Trait.Kind.values())
        .filter(kind -> kind.label().equals(label))
        .findFirst()
        .orElseThrow(
            () -> new CodecException(CodecException.MALFORMED, "unknown kind of trait: " + label));
  }
}
