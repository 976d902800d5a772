// Runs whose engine may have restarted at another software version.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "lifecycle_fixture.h"

namespace chervilwick {
namespace {

constexpr int64_t kBorn = 1000;
constexpr int64_t kBornLater = 2000;

// A resumable stream; its engines state their starts.
class VersionedStream : public Stream {
 public:
  explicit VersionedStream(const StreamTerms& terms = Stream::Terms(true),
                           int engines = 5)
      : Stream(terms, engines) {
    for (int n = 0; n < engines; ++n) {
      Record("d" + std::to_string(n), kBorn, "v1");
    }
  }

  static StreamTerms TakenUp() {
    StreamTerms terms = Stream::Terms(true);
    terms.is_taken_up = true;
    terms.software = SoftwareVersion("v1");
    return terms;
  }

  void Record(const std::string& id, int64_t born,
              const std::string& software) {
    BackendRecord record = table.Find(BackendName(id))->record;
    record.born_unix_ms = born;
    record.software = SoftwareVersion(software);
    table.Upsert(record);
    lifecycle.OnRecordChanged(record.id, now);
  }

  // Up to the head of the decode engine's answer.
  void StartAndAnswer() {
    StartAndReadPrompt();
    Answer();
  }

  void Answer() {
    now += kStep;
    lifecycle.OnAnswered(now);
    if (lifecycle.IsRunCertain()) lifecycle.OnStreaming(now);
  }

  void SendEvent(absl::Duration after = kStep) {
    now += after;
    lifecycle.OnProgress(now);
  }

  void Break() {
    port.open_decode.clear();
    lifecycle.OnDecodeFailed(DecodeFailure::kClosed, now);
  }

  std::string Engine() const { return port.decodes.back(); }
  size_t Questions() const { return port.start_questions.size(); }
};

TEST_CASE("version of a stream is known before its engine states its start",
          "[dispatch][software-versions]") {
  VersionedStream stream;
  stream.StartAndAnswer();
  stream.SendEvent();
  CHECK(stream.Questions() == 1);
  CHECK_FALSE(stream.lifecycle.software());
  CHECK(stream.lifecycle.IsVersionPending());
  stream.lifecycle.OnStartStated(kBorn, stream.now);
  CHECK(stream.lifecycle.software() == SoftwareVersion("v1"));
  CHECK(stream.port.times_software_known == 1);
  stream.SendEvent(absl::Seconds(1));
  CHECK(stream.Questions() == 1);
  stream.CheckAllReleased();
}

TEST_CASE("stream that began at a restarted engine has its version before",
          "[dispatch][software-versions]") {
  VersionedStream stream;
  stream.StartAndAnswer();
  stream.SendEvent();
  std::string engine = stream.Engine();
  stream.lifecycle.OnStartStated(kBornLater, stream.now);
  CHECK(stream.table.Find(BackendName(engine))->HasOutdatedRecord());
  // What it sends now may have been on its way from the start before.
  stream.SendEvent();
  CHECK(stream.Questions() == 1);
  stream.SendEvent(absl::Milliseconds(300));
  REQUIRE(stream.Questions() == 2);
  stream.lifecycle.OnStartStated(kBornLater, stream.now);
  CHECK_FALSE(stream.lifecycle.software());
  stream.Record(engine, kBornLater, "v2");
  CHECK(stream.lifecycle.software() == SoftwareVersion("v2"));
  CHECK(stream.port.times_software_known == 1);
  stream.CheckAllReleased();
}

TEST_CASE("engine that restarts twice is taken for its first start",
          "[dispatch][software-versions]") {
  VersionedStream stream;
  stream.StartAndAnswer();
  stream.SendEvent();
  stream.lifecycle.OnStartStated(kBornLater, stream.now);
  stream.SendEvent(absl::Milliseconds(300));
  stream.lifecycle.OnStartStated(kBornLater + 1, stream.now);
  stream.Record(stream.Engine(), kBornLater, "v2");
  stream.Record(stream.Engine(), kBornLater + 1, "v3");
  CHECK_FALSE(stream.lifecycle.software());
  stream.CheckAllReleased();
}

TEST_CASE("stream that is taken up goes on at a restarted engine",
          "[dispatch][software-versions]") {
  VersionedStream stream(VersionedStream::TakenUp());
  stream.StartAndAnswer();
  CHECK_FALSE(stream.lifecycle.IsRunCertain());
  std::string restarted = stream.Engine();
  stream.lifecycle.OnStartStated(kBornLater, stream.now);
  CHECK(stream.port.cancelled.back() == restarted);
  stream.Schedule();
  REQUIRE(stream.port.prompts.size() == 2);
  stream.now += kStep;
  stream.lifecycle.OnPromptRead(stream.now);
  CHECK(stream.Engine() != restarted);
  stream.Answer();
  stream.lifecycle.OnStartStated(kBorn, stream.now);
  CHECK(stream.lifecycle.IsRunCertain());
  CHECK_FALSE(stream.port.ending);
  stream.CheckAllReleased();
}

TEST_CASE("stream that is taken up goes on at an engine that doesn't answer",
          "[dispatch][software-versions]") {
  VersionedStream stream(VersionedStream::TakenUp(), 1);
  stream.StartAndAnswer();
  stream.lifecycle.OnStartStated(std::nullopt, stream.now);
  CHECK(stream.port.cancelled.size() == 1);
  CHECK_FALSE(stream.lifecycle.is_streaming());
  stream.CheckAllReleased();
}

TEST_CASE("stream that broke off goes on before its version is certain",
          "[dispatch][software-versions]") {
  VersionedStream stream;
  stream.StartAndAnswer();
  stream.SendEvent();
  stream.Break();
  CHECK_FALSE(stream.port.ending);
  stream.Schedule();
  CHECK(stream.port.resumed == 0);
  bool is_known = GENERATE(true, false);
  stream.lifecycle.OnStartStated(
      is_known ? std::optional<int64_t>(kBorn) : std::nullopt, stream.now);
  CHECK(stream.port.resumed == (is_known ? 1 : 0));
  CHECK(stream.port.ending.has_value() != is_known);
  stream.CheckAllReleased();
}

TEST_CASE("stream that broke off waits for a record that does not come",
          "[dispatch][software-versions]") {
  VersionedStream stream;
  stream.StartAndAnswer();
  stream.SendEvent();
  stream.lifecycle.OnStartStated(kBornLater, stream.now);
  stream.SendEvent(absl::Milliseconds(300));
  stream.lifecycle.OnStartStated(kBornLater, stream.now);
  stream.Break();
  CHECK_FALSE(stream.port.ending);
  if (GENERATE(true, false)) {
    stream.Record(stream.Engine(), kBornLater, "v1");
    CHECK(stream.port.resumed == 1);
  } else {
    stream.Wait(absl::Seconds(3));
    REQUIRE(stream.port.ending);
    CHECK(stream.port.ending->reason == "software_version_unknown");
  }
  stream.CheckAllReleased();
}

TEST_CASE("stream of which no event was passed on waits for its version",
          "[dispatch][software-versions]") {
  VersionedStream stream;
  stream.StartAndAnswer();
  stream.Break();
  CHECK(stream.port.resumed == 1);
  stream.CheckAllReleased();
}

TEST_CASE("engines whose records state no start are asked",
          "[dispatch][software-versions]") {
  Stream stream(Stream::Terms(true));
  stream.StartAndReadPrompt();
  stream.lifecycle.OnAnswered(stream.now);
  CHECK(stream.port.start_questions.empty());
  CHECK(stream.lifecycle.software());
  stream.CheckAllReleased();
}

TEST_CASE("restarted server is taken for one of its old version",
          "[dispatch][software-versions]") {
  VersionedStream stream;
  BackendName engine("d0");
  SoftwareVersion old("v1");
  for (int n = 1; n < 5; ++n) {
    stream.Record("d" + std::to_string(n), kBorn, "v2");
  }
  CHECK(stream.scheduler.IsVersionServed(kService, old, stream.now));
  CHECK(stream.table.ReportStart(engine, kBornLater));
  CHECK_FALSE(stream.table.ReportStart(engine, kBornLater));
  CHECK_FALSE(stream.scheduler.IsVersionServed(kService, old, stream.now));
  CHECK_FALSE(stream.scheduler.OnlyVersion(kService));
  // An answer of an earlier start that came late.
  CHECK_FALSE(stream.table.ReportStart(engine, kBorn));
  // A record that is older than what the server stated.
  stream.Record("d0", kBornLater - 1, "v1");
  CHECK_FALSE(stream.scheduler.IsVersionServed(kService, old, stream.now));
  stream.Record("d0", kBornLater, "v1");
  CHECK(stream.scheduler.IsVersionServed(kService, old, stream.now));
}

}  // namespace
}  // namespace chervilwick
