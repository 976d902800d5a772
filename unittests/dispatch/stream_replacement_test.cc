// Replacement of silent engines, without a network.

#include <catch2/catch.hpp>
#include <string>

#include "chervilwick/dispatch/stream_lifecycle.h"
#include "lifecycle_fixture.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kMoment = absl::Milliseconds(1);

// The route's streams are resumed after this time without data.
constexpr absl::Duration kResumeTime = absl::Milliseconds(1400);

void StartStreaming(Stream& it) {
  it.StartAndReadPrompt();
  it.lifecycle.OnStreaming(it.now);
  it.lifecycle.OnProgress(it.now);
}

void Quarantine(Stream& it) {
  CrashSuspects other;
  for (const char* name : {"d7", "d8", "d9"}) {
    BackendName engine(name);
    other.ReportLost({kFingerprint, engine, 1, it.now, true}, it.now);
    other.ReportServerEnd(engine, it.now);
  }
  it.suspects.MergeUpdate(other.FullUpdate(it.now), it.now);
}

TEST_CASE("a stream that may not be resumed is never replaced", "[dispatch]") {
  Stream it;
  StartStreaming(it);
  it.Wait(it.Terms(false).stall_limit - kMoment);
  CHECK(it.port.silent.size() == 1);
  CHECK(it.port.replacement_steps.empty());
  CHECK_FALSE(it.port.ending.has_value());
  it.lifecycle.OnProgress(it.now);  // restarts the limit
  it.Wait(it.Terms(false).stall_limit - kMoment);
  CHECK_FALSE(it.port.ending.has_value());
  it.Wait(kMoment);
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kCut);
  CHECK(it.port.ending->reason == "engine_stalled");
  CHECK(it.port.cancelled.size() == 1);
  it.CheckAllReleased();
}

TEST_CASE("an engine is replaced after a time without data, not earlier",
          "[dispatch]") {
  Stream it(/*resumable=*/true);
  it.StartAndReadPrompt();
  it.Wait(kResumeTime - kMoment);
  it.lifecycle.OnStreaming(it.now);
  it.lifecycle.OnProgress(it.now);  // resets the silence
  it.Wait(kResumeTime - kMoment);
  CHECK(it.port.replacement_steps.empty());
  it.Wait(kMoment);
  REQUIRE(it.port.replacement_steps.size() == 1);
  CHECK(it.port.replacement_steps[0] == ReplacementStep::kSought);
  CHECK(it.port.cancelled.empty());
}

TEST_CASE("a silent run goes on until the stream is sent to another engine",
          "[dispatch]") {
  Stream it(/*resumable=*/true);
  StartStreaming(it);
  it.Wait(kResumeTime);
  CHECK(it.port.cancelled.empty());
  it.Schedule();
  REQUIRE(it.port.prompts.size() == 2);
  CHECK(it.port.cancelled.empty());
  BackendName silent = it.lifecycle.decode_engine();
  CHECK(it.table.Find(silent)->own.requests == 1);
  it.now += kStep;
  it.lifecycle.OnPromptRead(it.now);
  REQUIRE(it.port.decodes.size() == 2);
  CHECK(it.port.decodes[1] != it.port.decodes[0]);
  CHECK(it.port.cancelled == std::vector<std::string>{it.port.decodes[0]});
  CHECK(it.table.Find(silent)->own.requests == 0);
  CHECK(it.port.resumed == 1);
  CHECK(it.port.repeats_left == 98);
  it.CheckAllReleased();
}

TEST_CASE("an event withdraws the replacement, at no cost to the budget",
          "[dispatch]") {
  Stream it(/*resumable=*/true);
  StartStreaming(it);
  it.Wait(kResumeTime);
  REQUIRE(it.scheduler.waiting() == 1);
  it.lifecycle.OnProgress(it.now);
  CHECK(it.scheduler.waiting() == 0);
  CHECK(it.port.replacement_steps.back() == ReplacementStep::kWithdrawn);
  CHECK(it.port.repeats_left == 100);
  CHECK(it.port.cancelled.empty());
  it.Schedule();
  CHECK(it.port.prompts.size() == 1);
  it.CheckAllReleased();
}

TEST_CASE("an event during the replacement's prefill keeps the old run",
          "[dispatch]") {
  Stream it(/*resumable=*/true);
  StartStreaming(it);
  it.Wait(kResumeTime);
  it.Schedule();
  REQUIRE(it.port.prompts.size() == 2);
  it.lifecycle.OnProgress(it.now);
  CHECK(it.port.cancelled == std::vector<std::string>{it.port.prompts[1]});
  CHECK(it.port.decodes.size() == 1);
  CHECK_FALSE(it.port.ending.has_value());
  it.lifecycle.OnCompleted(it.now);
  it.CheckAllReleased();
}

// Makes the replacement of a silent run fail for `reason`.
void RefuseReplacement(Stream& it, const std::string& reason) {
  if (reason == "retry_budget_used_up") {
    it.port.repeats_left = 1;  // the prompt and the stream need one each
  } else if (reason == "quarantined") {
    Quarantine(it);
  } else if (reason == "software_version_gone") {
    for (const char* id : {"d0", "d1"}) it.table.Remove(BackendName(id));
  } else if (reason == "queue_too_long") {
    for (const char* id : {"d0", "d1"}) {
      it.table.ReportPauseRequest(BackendName(id), it.now + absl::Seconds(20),
                                  it.now);
    }
  } else {
    bool is_first = it.port.decodes[0] == "d0";
    it.table.Remove(BackendName(is_first ? "d1" : "d0"));
  }
}

TEST_CASE("a replacement that is refused leaves the silent run going",
          "[dispatch]") {
  std::string reason =
      GENERATE(as<std::string>(), "retry_budget_used_up", "quarantined",
               "queue_too_long", "software_version_gone", "no_other_engine");
  bool is_event_late = GENERATE(true, false);
  INFO(reason);
  Stream it(/*resumable=*/true, /*decode_engines=*/2);
  StartStreaming(it);
  RefuseReplacement(it, reason);
  int repeats = it.port.repeats_left;
  absl::Time stalls_at = it.now + it.Terms(true).stall_limit;
  it.Wait(kResumeTime);
  it.Schedule();
  CHECK(it.port.last_reason == reason);
  while (it.now < stalls_at - 2 * kStep) {
    it.Wait(kStep);
    it.Schedule();
  }
  CHECK(it.port.cancelled.empty());
  CHECK_FALSE(it.port.ending.has_value());
  if (is_event_late) {
    it.lifecycle.OnProgress(it.now);
    it.lifecycle.OnCompleted(it.now);
    CHECK_FALSE(it.port.ending.has_value());
  } else {
    it.Wait(2 * kStep);
    REQUIRE(it.port.ending.has_value());
    CHECK(it.port.ending->reason == "engine_stalled");
  }
  CHECK(it.port.repeats_left == repeats);
  CHECK(it.port.decodes.size() == 1);
  it.CheckAllReleased();
}

TEST_CASE("a replacement is sought again once the budget allows it",
          "[dispatch]") {
  Stream it(/*resumable=*/true);
  it.port.repeats_left = 0;
  StartStreaming(it);
  it.Wait(kResumeTime);
  it.Schedule();
  CHECK(it.port.prompts.size() == 1);
  it.port.repeats_left = 2;
  it.Wait(absl::Milliseconds(500));
  it.Schedule();
  CHECK(it.port.prompts.size() == 2);
}

TEST_CASE("a stream continues with its replacement when the silent run fails",
          "[dispatch]") {
  Stream it(/*resumable=*/true);
  StartStreaming(it);
  it.Wait(kResumeTime);
  SECTION("while it waits for a place") {
    it.lifecycle.OnDecodeFailed(DecodeFailure::kClosed, it.now);
    CHECK(it.scheduler.waiting() == 1);
    it.Schedule();
  }
  SECTION("while its prompt is read") {
    it.Schedule();
    it.lifecycle.OnDecodeFailed(DecodeFailure::kClosed, it.now);
    CHECK(it.scheduler.waiting() == 0);
  }
  REQUIRE(it.port.prompts.size() == 2);
  it.now += kStep;
  it.lifecycle.OnPromptRead(it.now);
  REQUIRE(it.port.decodes.size() == 2);
  CHECK(it.port.decodes[0] != it.port.decodes[1]);
  CHECK(it.port.cancelled.empty());
  CHECK(it.port.repeats_left == 98);
  it.CheckAllReleased();
}

// Guards against streams of slow engines that use up the retry budget.
TEST_CASE("a slow engine is silent only after twice its longest gap",
          "[dispatch]") {
  Stream it(/*resumable=*/true);
  StartStreaming(it);
  constexpr absl::Duration gap = absl::Milliseconds(1350);
  for (int n = 0; n < 3; ++n) {
    it.Wait(gap);
    it.lifecycle.OnProgress(it.now);
  }
  it.Wait(2 * gap - kMoment);
  CHECK(it.port.replacement_steps.empty());
  it.Wait(kMoment);
  CHECK(it.port.replacement_steps.size() == 1);
  // The client waits for 3 s, which bounds the threshold.
  it.lifecycle.OnProgress(it.now);
  it.Wait(absl::Seconds(3) - kMoment);
  CHECK(it.scheduler.waiting() == 0);
  it.Wait(kMoment);
  CHECK(it.scheduler.waiting() == 1);
}

TEST_CASE("a silent prompt goes on until another engine reads it",
          "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  it.Schedule();
  REQUIRE(it.port.prompts.size() == 1);
  it.Wait(absl::Seconds(1));
  CHECK(it.port.silent == it.port.prompts);
  CHECK(it.port.cancelled.empty());
  SECTION("it is answered first") {
    it.lifecycle.OnPromptRead(it.now);
    CHECK(it.port.cancelled.empty());
    CHECK(it.port.repeats_left == 100);
    it.Schedule();  // the place is chosen anew
    CHECK(it.port.prompts.size() == 1);
    REQUIRE(it.port.decodes.size() == 1);
    CHECK(it.port.with_handles[0]);
  }
  SECTION("another engine is found first") {
    it.Schedule();
    REQUIRE(it.port.prompts.size() == 2);
    CHECK(it.port.prompts[0] != it.port.prompts[1]);
    CHECK(it.port.cancelled == std::vector<std::string>{it.port.prompts[0]});
    it.lifecycle.OnPromptRead(it.now);
    CHECK(it.port.decodes.size() == 1);
    CHECK(it.port.repeats_left == 99);
  }
  SECTION("the budget is empty") {
    it.port.repeats_left = 0;
    it.Schedule();
    it.Wait(absl::Seconds(1));
    it.Schedule();
    CHECK(it.port.prompts.size() == 1);
    CHECK(it.port.cancelled.empty());
    CHECK_FALSE(it.port.ending.has_value());
    it.lifecycle.OnPromptRead(it.now);
    it.Schedule();
    CHECK(it.port.decodes.size() == 1);
  }
  it.CheckAllReleased();
}

TEST_CASE("a silent prompt call is cancelled and reported as its engine's",
          "[dispatch]") {
  for (bool has_other_prefill : {true, false}) {
    Stream it;
    it.lifecycle.Start(it.now);
    it.Schedule();
    REQUIRE(it.port.prompts.size() == 1);
    std::string first = it.port.prompts[0];
    for (const char* engine : {"p0", "p1", "p2"}) {
      if (!has_other_prefill && engine != first) {
        it.table.Remove(BackendName(engine));
      }
    }
    it.Wait(it.port.timer_delay);
    it.Schedule();
    CHECK(it.port.cancelled_prompts == std::vector<std::string>{first});
    CHECK(it.port.prompts.size() == (has_other_prefill ? 2 : 1));
    CHECK(it.port.decodes.size() == (has_other_prefill ? 0 : 1));
  }
}

// Leaves the stream with a silent prompt call whose replacement is queued.
std::string SilencePrompt(Stream& it, bool has_other_prefill) {
  it.lifecycle.Start(it.now);
  it.Schedule();
  std::string first = it.port.prompts.at(0);
  for (const char* engine : {"p0", "p1", "p2"}) {
    if (!has_other_prefill && engine != first) {
      it.table.Remove(BackendName(engine));
    }
  }
  it.Wait(it.port.timer_delay);
  return first;
}

TEST_CASE(
    "a refused replacement of a silent prompt is reported as its engine's",
    "[dispatch]") {
  for (bool has_other_prefill : {true, false}) {
    Stream it;
    std::string first = SilencePrompt(it, has_other_prefill);
    Quarantine(it);
    it.Schedule();
    REQUIRE(it.port.replacement_steps ==
            std::vector<ReplacementStep>{ReplacementStep::kSought,
                                         ReplacementStep::kRefused});
    CHECK(it.port.replacement_engines ==
          std::vector<std::string>{first, first});
    CHECK(it.port.cancelled.empty());
    it.CheckAllReleased();
  }
}

TEST_CASE("a silent prompt is replaced without a retry where none is needed",
          "[dispatch]") {
  Stream it;
  it.port.repeats_left = -1;
  std::string first = SilencePrompt(it, /*has_other_prefill=*/false);
  it.Schedule();
  CHECK(it.port.cancelled_prompts == std::vector<std::string>{first});
  CHECK(it.port.decodes.size() == 1);
  CHECK(it.port.repeats_left == -1);
  it.CheckAllReleased();
}

TEST_CASE("a first prompt call that was not sent makes no later run free",
          "[dispatch]") {
  Stream it(/*resumable=*/true);
  const std::vector<std::string> prefills = {"p0", "p1", "p2"};
  for (const std::string& name : prefills) it.table.Remove(BackendName(name));
  it.lifecycle.Start(it.now);
  it.Schedule();
  REQUIRE(it.port.decodes.size() == 1);
  it.lifecycle.OnStreaming(it.now);
  it.lifecycle.OnProgress(it.now);
  for (int n = 0; n < 3; ++n) it.Add("p", n, EngineStage::kPrefill);
  it.Wait(kResumeTime);
  it.Schedule();
  REQUIRE(it.port.prompts.size() == 1);
  it.port.prompt_was_sent = false;
  it.lifecycle.OnProgress(it.now);
  for (const std::string& name : prefills) it.table.Remove(BackendName(name));
  it.Wait(2 * (kResumeTime + kStep));
  it.Schedule();
  CHECK(it.port.decodes.size() == 2);
  CHECK(it.port.repeats_left == 99);
}

TEST_CASE("a resumed stream waits for a retry as long as its client waits",
          "[dispatch]") {
  Stream it(/*resumable=*/true);
  it.port.repeats_left = 0;
  StartStreaming(it);
  absl::Time last_event = it.now;
  it.lifecycle.OnDecodeFailed(DecodeFailure::kClosed, it.now);
  it.Schedule();
  CHECK_FALSE(it.port.ending.has_value());
  SECTION("one comes free") {
    it.Wait(absl::Seconds(2));
    CHECK_FALSE(it.port.ending.has_value());
    it.port.repeats_left = 2;
    it.Wait(absl::Milliseconds(100));
    it.Schedule();
    it.lifecycle.OnPromptRead(it.now);
    CHECK(it.port.decodes.size() == 2);
  }
  SECTION("none comes free") {
    it.Wait(it.port.EventTimeout());
    REQUIRE(it.port.ending.has_value());
    CHECK(it.port.ending->kind == StreamEnding::Kind::kCut);
    CHECK(it.port.ending->reason == "retry_budget_used_up");
    CHECK(it.now - last_event >= it.port.EventTimeout());
  }
  it.CheckAllReleased();
}

}  // namespace
}  // namespace chervilwick
