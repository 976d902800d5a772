// What is tried for one stream, step by step, without a network.

#include "chervilwick/dispatch/stream_lifecycle.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const ServiceName kService("models");
const Fingerprint kFingerprint(7);
constexpr absl::Duration kStep = absl::Milliseconds(20);

// Records what the lifecycle wants done.
class Port : public StreamPort {
 public:
  absl::Duration Patience() const override { return absl::Seconds(3); }
  absl::Duration HandleLifetime() const override {
    return absl::Milliseconds(500);
  }
  bool TakeRepeat() override {
    if (repeats_left == 0) return false;
    --repeats_left;
    return true;
  }
  void SendPrompt(const BackendName& engine,
                  absl::Duration /*patience*/) override {
    prompts.push_back(engine.value());
  }
  void SendDecode(const BackendName& engine, bool with_handle) override {
    decodes.push_back(engine.value());
    with_handles.push_back(with_handle);
  }
  void FreeHandle() override { ++freed; }
  void OnResumed() override { ++resumed; }
  void End(const StreamEnding& it) override { ending = it; }
  void WakeScheduler() override {}

  int repeats_left = 100;
  std::vector<std::string> prompts;
  std::vector<std::string> decodes;
  std::vector<bool> with_handles;
  int freed = 0;
  int resumed = 0;
  std::optional<StreamEnding> ending;
};

// One stream before a small fleet.
class Stream {
 public:
  explicit Stream(bool resumable = false, int decode_engines = 5)
      : scheduler(table, ZoneName("a"), StreamSchedulerOptions()),
        lifecycle({table, scheduler, suspects}, Terms(resumable), port) {
    for (int n = 0; n < 3; ++n) Add("p", n, EngineStage::kPrefill);
    for (int n = 0; n < decode_engines; ++n) Add("d", n, EngineStage::kDecode);
    ServiceTraits traits;
    traits.engine = EngineTraits();
    traits.engine->memory_tokens = 38000;
    scheduler.SetEngineTraits({{kService, traits}});
  }

  static StreamTerms Terms(bool resumable) {
    StreamTerms terms;
    terms.id = ExchangeId(1);
    terms.service = kService;
    terms.fingerprint = kFingerprint;
    terms.arrived = kStart;
    terms.objective = absl::Milliseconds(900);
    terms.pause_objective = absl::Milliseconds(300);
    terms.attempts = 3;
    terms.resumable = resumable;
    terms.prompt_tokens = 3000;
    terms.max_output_tokens = 2000;
    terms.output_hint = 800;
    return terms;
  }

  void Add(const std::string& kind, int n, EngineStage stage) {
    BackendRecord record;
    record.id = BackendName(kind + std::to_string(n));
    record.service = kService;
    record.zone = ZoneName("a");
    record.slots = 64;
    record.stage = stage;
    table.Upsert(record);
  }

  // Lets the scheduler decide, a step later.
  void Schedule() {
    now += kStep;
    for (const StreamDecision& it : scheduler.Decide(now)) {
      std::visit(Overloaded{
                     [&](const StreamPlacement& placement) {
                       lifecycle.OnPlaced(placement, now);
                     },
                     [&](const StreamRefusal& refusal) {
                       lifecycle.OnRefused(refusal);
                     },
                 },
                 it);
    }
  }

  void StartAndReadPrompt() {
    lifecycle.Start(now);
    Schedule();
    REQUIRE(port.prompts.size() == 1);
    now += kStep;
    lifecycle.OnPromptRead(now);
  }

  // After the end, nothing of the fleet may be held.
  void CheckNothingHeld() {
    lifecycle.Close();
    for (const auto& it : table.all()) CHECK(it.second.own == BackendUse());
    CHECK(scheduler.waiting() == 0);
  }

  absl::Time now = kStart;
  BackendTable table;
  StreamScheduler scheduler;
  CrashSuspects suspects;
  Port port;
  StreamLifecycle lifecycle;
};

TEST_CASE("a prompt is read, then its stream generated from it", "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  CHECK(it.port.prompts.empty());
  it.Schedule();
  REQUIRE(it.port.prompts.size() == 1);
  it.now += kStep;
  it.lifecycle.OnPromptRead(it.now);
  REQUIRE(it.port.decodes.size() == 1);
  CHECK(it.port.with_handles[0]);
  // 3000 tokens read, 1.2 times the hint of 800 expected.
  CHECK(it.lifecycle.placement().memory_tokens == 3960);
  it.lifecycle.OnStreaming();
  it.lifecycle.OnBytes();
  it.now += absl::Seconds(3);
  it.lifecycle.OnWhole(it.now);
  CHECK_FALSE(it.port.ending.has_value());
  CHECK(it.port.repeats_left == 100);
  it.CheckNothingHeld();
}

TEST_CASE("a refused prompt is read elsewhere from the budget", "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  it.Schedule();
  it.lifecycle.OnPromptFailed(PromptFailure::kRefused, it.now);
  it.Schedule();
  REQUIRE(it.port.prompts.size() == 2);
  CHECK(it.port.prompts[0] != it.port.prompts[1]);
  CHECK(it.port.repeats_left == 99);
  it.CheckNothingHeld();
}

TEST_CASE("an engine that can't be reached costs no repeated send",
          "[dispatch]") {
  Stream it;
  it.port.repeats_left = 0;
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeBroken(/*sent=*/false, /*closed=*/false, it.now);
  it.Schedule();
  CHECK_FALSE(it.port.ending.has_value());
  REQUIRE(it.port.decodes.size() == 2);
  CHECK(it.port.decodes[0] != it.port.decodes[1]);
  CHECK(it.port.with_handles[1]);
  it.CheckNothingHeld();
}

TEST_CASE("prompt calls that reach no engine cost no repeated send",
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
  it.CheckNothingHeld();
}

TEST_CASE("after three prompt calls the decoding engine reads it",
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
  it.CheckNothingHeld();
}

TEST_CASE("a cache that may have lapsed is not used", "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  it.now += absl::Milliseconds(400);  // of 500, and the way is not free
  it.lifecycle.OnDecodeNotRun(/*is_wrong_server=*/false, it.now);
  it.Schedule();
  CHECK(it.port.prompts.size() == 2);
  it.CheckNothingHeld();
}

TEST_CASE("a cache that was refused twice is given up", "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeNotRun(false, it.now);
  it.Schedule();
  REQUIRE(it.port.decodes.size() == 2);
  CHECK(it.port.with_handles[1]);
  it.lifecycle.OnDecodeNotRun(false, it.now);
  CHECK(it.port.freed == 1);
  it.Schedule();
  REQUIRE(it.port.decodes.size() == 3);
  CHECK_FALSE(it.port.with_handles[2]);
  CHECK(it.port.prompts.size() == 1);
  it.CheckNothingHeld();
}

TEST_CASE("four refusals end a stream as not run", "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  for (int n = 0; n < 4; ++n) {
    REQUIRE_FALSE(it.port.ending.has_value());
    REQUIRE(it.port.decodes.size() == static_cast<size_t>(n + 1));
    it.lifecycle.OnDecodeNotRun(false, it.now);
    if (n < 3) it.Schedule();
  }
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kRefused);
  CHECK(it.port.ending->retry_after > absl::ZeroDuration());
  CHECK(it.lifecycle.runs() == 0);
  it.CheckNothingHeld();
}

TEST_CASE("a stream that may run once is not run again", "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeBroken(/*sent=*/true, /*closed=*/true, it.now);
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kFailed);
  CHECK(it.port.ending->retry_after == absl::ZeroDuration());
  CHECK(it.port.decodes.size() == 1);
  it.CheckNothingHeld();
}

TEST_CASE("one that was cut in the middle is not called refused",
          "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  it.lifecycle.OnStreaming();
  it.lifecycle.OnDecodeBroken(true, true, it.now);
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kCut);
  it.CheckNothingHeld();
}

TEST_CASE("a call that was never sent is no run", "[dispatch]") {
  Stream it;
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeBroken(/*sent=*/false, /*closed=*/false, it.now);
  CHECK_FALSE(it.port.ending.has_value());
  CHECK(it.lifecycle.runs() == 0);
  it.Schedule();
  REQUIRE(it.port.decodes.size() == 2);
  CHECK(it.port.decodes[0] != it.port.decodes[1]);
  it.CheckNothingHeld();
}

TEST_CASE("a resumable stream goes on at another engine", "[dispatch]") {
  Stream it(/*resumable=*/true);
  it.StartAndReadPrompt();
  it.lifecycle.OnStreaming();
  it.lifecycle.OnDecodeBroken(true, true, it.now);
  CHECK(it.port.resumed == 1);
  it.Schedule();
  it.now += kStep;
  it.lifecycle.OnPromptRead(it.now);  // the cache was used up by the first run
  REQUIRE(it.port.decodes.size() == 2);
  CHECK(it.port.decodes[0] != it.port.decodes[1]);
  // No more runs than the route allows: three.
  it.lifecycle.OnStreaming();
  it.lifecycle.OnDecodeBroken(true, true, it.now);
  it.Schedule();
  it.lifecycle.OnPromptRead(it.now);
  REQUIRE(it.port.decodes.size() == 3);
  it.lifecycle.OnDecodeBroken(true, true, it.now);
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kCut);
  CHECK(it.suspects.IsQuarantined(kFingerprint));
  it.CheckNothingHeld();
}

TEST_CASE("silence moves only what may run again, the second time",
          "[dispatch]") {
  using Verdict = StreamLifecycle::SilenceVerdict;
  Stream once;
  once.StartAndReadPrompt();
  CHECK(once.lifecycle.OnDecodeSilent(once.now) == Verdict::kIgnore);
  Stream again(/*resumable=*/true);
  again.StartAndReadPrompt();
  CHECK(again.lifecycle.OnDecodeSilent(again.now) == Verdict::kWait);
  again.lifecycle.OnBytes();  // it was slow, no more
  CHECK(again.lifecycle.OnDecodeSilent(again.now) == Verdict::kWait);
  CHECK(again.lifecycle.OnDecodeSilent(again.now) == Verdict::kResume);
}

TEST_CASE("without a repeated send left a refusal is final", "[dispatch]") {
  Stream it;
  it.port.repeats_left = 0;
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeNotRun(false, it.now);
  it.Schedule();
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kRefused);
  CHECK(it.port.decodes.size() == 1);
  CHECK(it.port.freed == 1);  // the cache that nobody will use
  it.CheckNothingHeld();
}

TEST_CASE("a stream whose engine has gone is placed again", "[dispatch]") {
  Stream it;
  it.lifecycle.Start(it.now);
  it.Schedule();
  it.table.Remove(it.lifecycle.placement().decode);
  it.now += kStep;
  it.lifecycle.OnPromptRead(it.now);
  CHECK(it.port.decodes.empty());
  it.Schedule();
  CHECK(it.port.decodes.size() == 1);
  it.CheckNothingHeld();
}

// Engines that read prompts answer, so they are trusted, but none of those that
// generate is.
TEST_CASE("distrusted decoding engines are better than none", "[dispatch]") {
  Stream it;
  for (int n = 0; n < 5; ++n) {
    BackendName id("d" + std::to_string(n));
    for (int failures = 0; failures < 3; ++failures) {
      it.table.ReportFailure(id, it.now);
    }
  }
  it.StartAndReadPrompt();
  CHECK(it.port.decodes.size() == 1);
  it.CheckNothingHeld();
}

TEST_CASE("the only decoding engine is offered a stream again", "[dispatch]") {
  Stream it(/*resumable=*/false, /*decode_engines=*/1);
  it.StartAndReadPrompt();
  it.lifecycle.OnDecodeNotRun(/*is_wrong_server=*/false, it.now);
  it.now += absl::Milliseconds(1100);  // it said that it was full
  it.Schedule();
  CHECK(it.port.decodes.size() == 2);
  it.CheckNothingHeld();
}

TEST_CASE("a prompt that the only reader failed is read where it decodes",
          "[dispatch]") {
  Stream it;
  it.table.Remove(BackendName("p1"));
  it.table.Remove(BackendName("p2"));
  it.lifecycle.Start(it.now);
  it.Schedule();
  it.lifecycle.OnPromptFailed(PromptFailure::kBroken, it.now);
  it.Schedule();
  REQUIRE(it.port.prompts.size() + it.port.decodes.size() == 2);
  it.CheckNothingHeld();
}

}  // namespace
}  // namespace chervilwick
