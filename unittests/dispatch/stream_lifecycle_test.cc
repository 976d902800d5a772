// Steps of the stream lifecycle, without a network.

#include "chervilwick/dispatch/stream_lifecycle.h"

#include <catch2/catch.hpp>
#include <string>

#include "lifecycle_fixture.h"

namespace chervilwick {
namespace {

TEST_CASE("a stream is prefilled, then decoded with the KV cache handle",
          "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  CHECK(it.port.prompts.empty());
  it.Schedule();
  REQUIRE(it.port.prompts.size() == 1);
  it.now += kStep;
  it.lifecycle.OnPromptRead(it.now);
  REQUIRE(it.port.decodes.size() == 1);
  CHECK(it.port.with_handles[0]);
  // 3000 prompt tokens, and 1.2 times the output hint of 800.
  CHECK(it.lifecycle.placement().memory_tokens == 3960);
  it.lifecycle.OnStreaming(it.now);
  it.lifecycle.OnProgress(it.now);
  it.now += absl::Seconds(3);
  it.lifecycle.OnCompleted(it.now);
  CHECK_FALSE(it.port.ending.has_value());
  CHECK(it.port.repeats_left == 100);
  it.CheckAllReleased();
}

TEST_CASE("a refused prompt is sent to another engine and takes one retry",
          "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  it.Schedule();
  it.lifecycle.OnPromptFailed(PromptFailure::kRefused, it.now);
  it.Schedule();
  REQUIRE(it.port.prompts.size() == 2);
  CHECK(it.port.prompts[0] != it.port.prompts[1]);
  CHECK(it.port.repeats_left == 99);
  it.CheckAllReleased();
}

TEST_CASE("an unreachable decode engine does not use the retry budget",
          "[dispatch]") {
  Stream it;
  it.port.repeats_left = 0;
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeFailed(DecodeFailure::kUnreachable, it.now);
  it.Schedule();
  CHECK_FALSE(it.port.ending.has_value());
  REQUIRE(it.port.decodes.size() == 2);
  CHECK(it.port.decodes[0] != it.port.decodes[1]);
  CHECK(it.port.with_handles[1]);
  it.CheckAllReleased();
}

TEST_CASE("a retry that reached no engine is used for the next call",
          "[dispatch]") {
  Stream it;
  it.port.repeats_left = 1;
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeRefused(/*is_wrong_server=*/false, it.now);
  it.Schedule();
  REQUIRE(it.port.decodes.size() == 2);
  CHECK(it.port.repeats_left == 0);
  it.lifecycle.OnDecodeFailed(DecodeFailure::kUnreachable, it.now);
  it.Schedule();
  CHECK_FALSE(it.port.ending.has_value());
  REQUIRE(it.port.decodes.size() == 3);
  // This call reached the engine, so a fourth one would exceed the budget.
  it.lifecycle.OnDecodeRefused(/*is_wrong_server=*/false, it.now);
  it.Schedule();
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->reason == "retry_budget_used_up");
  CHECK(it.port.decodes.size() == 3);
  it.CheckAllReleased();
}

// Quarantines the request by crash records of other fronts.
void Quarantine(Stream& it) {
  CrashSuspects other;
  for (const char* name : {"d7", "d8", "d9"}) {
    BackendName engine(name);
    other.ReportLost({kFingerprint, engine, 1, it.now, true}, it.now);
    other.ReportServerEnd(engine, it.now);
  }
  it.suspects.MergeUpdate(other.FullUpdate(it.now), it.now);
}

TEST_CASE("a waiting stream that becomes quarantined is not sent",
          "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  Quarantine(it);
  SECTION("it is refused when placed") { it.Schedule(); }
  SECTION("it is refused while waiting") {
    it.lifecycle.RecheckQuarantine(it.now);
  }
  CHECK(it.port.prompts.empty());
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kRefused);
  CHECK(it.port.ending->reason == "quarantined");
  CHECK(it.port.ending->retry_after > absl::Minutes(1));
  it.Schedule();
  CHECK(it.port.prompts.empty());
  CHECK(it.port.endings == 1);
  it.CheckAllReleased();
}

TEST_CASE("a stream quarantined during prefill is not sent to a decode engine",
          "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  it.Schedule();
  REQUIRE(it.port.prompts.size() == 1);
  Quarantine(it);
  it.lifecycle.OnPromptRead(it.now);
  CHECK(it.port.decodes.empty());
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kRefused);
  CHECK(it.port.freed == 1);
  it.CheckAllReleased();
}

TEST_CASE("a quarantined stream is not resumed at another engine",
          "[dispatch]") {
  Stream it(/*resumable=*/true);
  it.StartAndReadPrompt();
  it.lifecycle.OnStreaming(it.now);
  Quarantine(it);
  it.lifecycle.OnDecodeFailed(DecodeFailure::kClosed, it.now);
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kCut);
  CHECK(it.port.decodes.size() == 1);
  it.CheckAllReleased();
}

TEST_CASE("unreachable prefill engines do not use the retry budget",
          "[dispatch]") {
  Stream it;
  it.port.repeats_left = 0;
  it.lifecycle.Start(it.now);
  for (int n = 0; n < 2; ++n) {
    it.Schedule();
    REQUIRE(it.port.prompts.size() == static_cast<size_t>(n + 1));
    const BackendName engine(it.port.prompts.back());
    it.lifecycle.OnPromptFailed(PromptFailure::kUnreachable, it.now);
    CHECK(it.table.Find(engine)->suspect_until > it.now);
  }
  it.Schedule();
  CHECK_FALSE(it.port.ending.has_value());
  it.CheckAllReleased();
}

TEST_CASE("after three failed prompt calls the decode engine reads the prompt",
          "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  for (int n = 0; n < 3; ++n) {
    it.Schedule();
    REQUIRE(it.port.prompts.size() == static_cast<size_t>(n + 1));
    it.lifecycle.OnPromptFailed(PromptFailure::kBroken, it.now);
  }
  REQUIRE(it.port.decodes.size() == 1);
  CHECK_FALSE(it.port.with_handles[0]);
  it.CheckAllReleased();
}

TEST_CASE("a KV cache handle that may have expired is not used", "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  it.now += absl::Milliseconds(400);  // of 500; the call takes time as well
  it.lifecycle.OnDecodeRefused(/*is_wrong_server=*/false, it.now);
  it.Schedule();
  CHECK(it.port.prompts.size() == 2);
  it.CheckAllReleased();
}

TEST_CASE("a KV cache handle that was refused twice is freed", "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeRefused(false, it.now);
  it.Schedule();
  REQUIRE(it.port.decodes.size() == 2);
  CHECK(it.port.with_handles[1]);
  it.lifecycle.OnDecodeRefused(false, it.now);
  CHECK(it.port.freed == 1);
  it.Schedule();
  REQUIRE(it.port.decodes.size() == 3);
  CHECK_FALSE(it.port.with_handles[2]);
  CHECK(it.port.prompts.size() == 1);
  it.CheckAllReleased();
}

TEST_CASE("a stream refused by four decode engines ends as refused",
          "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  for (int n = 0; n < 4; ++n) {
    REQUIRE_FALSE(it.port.ending.has_value());
    REQUIRE(it.port.decodes.size() == static_cast<size_t>(n + 1));
    it.lifecycle.OnDecodeRefused(false, it.now);
    if (n < 3) it.Schedule();
  }
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kRefused);
  CHECK(it.port.ending->retry_after > absl::ZeroDuration());
  CHECK(it.lifecycle.runs() == 0);
  it.CheckAllReleased();
}

TEST_CASE("a non-resumable stream that may have run is not sent again",
          "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeFailed(DecodeFailure::kClosed, it.now);
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kFailed);
  CHECK(it.port.ending->retry_after == absl::ZeroDuration());
  CHECK(it.port.decodes.size() == 1);
  it.CheckAllReleased();
}

TEST_CASE("a stream that broke off after its head ends as cut, not refused",
          "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  it.lifecycle.OnStreaming(it.now);
  it.lifecycle.OnDecodeFailed(DecodeFailure::kClosed, it.now);
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kCut);
  it.CheckAllReleased();
}

TEST_CASE("a call that reached no engine does not count as a run",
          "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeFailed(DecodeFailure::kUnreachable, it.now);
  CHECK_FALSE(it.port.ending.has_value());
  CHECK(it.lifecycle.runs() == 0);
  it.Schedule();
  REQUIRE(it.port.decodes.size() == 2);
  CHECK(it.port.decodes[0] != it.port.decodes[1]);
  it.CheckAllReleased();
}

TEST_CASE(
    "a resumable stream is resumed at another engine, within its attempts",
    "[dispatch]") {
  Stream it(/*resumable=*/true);
  it.StartAndReadPrompt();
  it.lifecycle.OnStreaming(it.now);
  it.lifecycle.OnDecodeFailed(DecodeFailure::kClosed, it.now);
  CHECK(it.port.resumed == 1);
  it.Schedule();
  it.now += kStep;
  it.lifecycle.OnPromptRead(it.now);  // the first run has used the KV cache
  REQUIRE(it.port.decodes.size() == 2);
  CHECK(it.port.decodes[0] != it.port.decodes[1]);
  // The route allows three runs.
  it.lifecycle.OnStreaming(it.now);
  it.lifecycle.OnDecodeFailed(DecodeFailure::kClosed, it.now);
  it.Schedule();
  it.lifecycle.OnPromptRead(it.now);
  REQUIRE(it.port.decodes.size() == 3);
  it.lifecycle.OnDecodeFailed(DecodeFailure::kClosed, it.now);
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kCut);
  it.now += absl::Seconds(1);
  it.suspects.Settle(
      [](const BackendName& /*engine*/) { return absl::InfinitePast(); },
      it.now);
  CHECK(it.suspects.IsQuarantined(kFingerprint, it.now));
  it.CheckAllReleased();
}

TEST_CASE("a decode engine that requested a pause in prefill is not called",
          "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  it.Schedule();
  REQUIRE(it.port.prompts.size() == 1);
  BackendName chosen = it.lifecycle.placement().decode;
  it.table.ReportPauseRequest(chosen, it.now + absl::Seconds(2), it.now);
  it.lifecycle.OnPromptRead(it.now);
  CHECK(it.port.decodes.empty());
  it.Schedule();
  REQUIRE(it.port.decodes.size() == 1);
  CHECK(it.port.decodes[0] != chosen.value());
  // The other engine uses the prompt's KV cache.
  CHECK(it.port.with_handles[0]);
}

// Under load, a decode engine fails while the prompts of its next streams are
// being read.
TEST_CASE("a decode engine that failed during prefill is replaced",
          "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  it.Schedule();
  REQUIRE(it.port.prompts.size() == 1);
  BackendName chosen = it.lifecycle.placement().decode;
  it.table.ApplyNotice(
      {chosen, 0, BackendNotice::Kind::kUnreachable, absl::Seconds(1)}, it.now);
  it.lifecycle.OnPromptRead(it.now);
  CHECK(it.port.decodes.empty());
  it.Schedule();
  REQUIRE(it.port.decodes.size() == 1);
  CHECK(it.port.decodes[0] != chosen.value());
  CHECK(it.port.with_handles[0]);
  CHECK(it.port.prompts.size() == 1);
  it.CheckAllReleased();
}

TEST_CASE("a stream is sent although all decode engines are suspect",
          "[dispatch]") {
  Stream it(/*resumable=*/false, /*decode_engines=*/2);
  it.lifecycle.Start(it.now);
  it.Schedule();
  for (const char* id : {"d0", "d1"}) {
    it.table.ReportUnreachable(BackendName(id), it.now);
  }
  it.lifecycle.OnPromptRead(it.now);
  it.Schedule();
  CHECK(it.port.decodes.size() == 1);
}

TEST_CASE("a refusal is final when the retry budget is exhausted",
          "[dispatch]") {
  Stream it;
  it.port.repeats_left = 0;
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeRefused(false, it.now);
  it.Schedule();
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kRefused);
  CHECK(it.port.decodes.size() == 1);
  CHECK(it.port.freed == 1);  // the unused KV cache
  it.CheckAllReleased();
}

TEST_CASE("a stream whose decode engine was removed is placed again",
          "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  it.Schedule();
  it.table.Remove(it.lifecycle.placement().decode);
  it.now += kStep;
  it.lifecycle.OnPromptRead(it.now);
  CHECK(it.port.decodes.empty());
  it.Schedule();
  CHECK(it.port.decodes.size() == 1);
  it.CheckAllReleased();
}

// The prefill engines respond, but all decode engines have failed repeatedly.
TEST_CASE("failing decode engines are used when there are no others",
          "[dispatch]") {
  Stream it;
  for (int n = 0; n < 5; ++n) {
    BackendName id("d" + std::to_string(n));
    for (int failures = 0; failures < 3; ++failures) {
      it.table.ReportFailure(id, it.now);
    }
  }
  it.StartAndReadPrompt();
  CHECK(it.port.decodes.size() == 1);
  it.CheckAllReleased();
}

TEST_CASE("a stream is sent again to the only decode engine that refused it",
          "[dispatch]") {
  Stream it(/*resumable=*/false, /*decode_engines=*/1);
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeRefused(/*is_wrong_server=*/false, it.now);
  it.now += absl::Milliseconds(1100);  // it is avoided as full until then
  it.Schedule();
  // The KV cache has expired. The prompt is read by a prefill engine again,
  // since reading it at the decode engine would delay the streams there.
  REQUIRE(it.port.prompts.size() == 2);
  CHECK(it.port.decodes.size() == 1);
  it.lifecycle.OnPromptRead(it.now);
  CHECK(it.port.decodes.size() == 2);
  CHECK(it.port.with_handles == std::vector<bool>{true, true});
  it.CheckAllReleased();
}

TEST_CASE(
    "the decode engine reads a prompt that the only prefill engine failed",
    "[dispatch]") {
  Stream it;
  it.table.Remove(BackendName("p1"));
  it.table.Remove(BackendName("p2"));
  it.lifecycle.Start(it.now);
  it.Schedule();
  it.lifecycle.OnPromptFailed(PromptFailure::kBroken, it.now);
  it.Schedule();
  REQUIRE(it.port.prompts.size() + it.port.decodes.size() == 2);
  it.CheckAllReleased();
}

}  // namespace
}  // namespace chervilwick
