// The engine's model: batches, memory, refusals and crashes.

#include "chervilwick/emulator/engine_model.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace chervilwick {
namespace {

// One engine, and what its handlers heard.
struct Engine {
  explicit Engine(EngineStage stage = EngineStage::kDecode,
                  EngineModelOptions options = EngineModelOptions())
      : model(queue, options, stage, 1) {}

  uint64_t Decode(uint64_t request, int64_t prompt, int64_t output,
                  bool has_handle = true, int priority = 0) {
    DecodeRun run;
    run.request = request;
    run.priority = priority;
    run.prompt_tokens = prompt;
    run.output_tokens = output;
    run.has_handle = has_handle;
    return model.Decode(run, [this, request](DecodeEvent it) {
      heard[request].push_back(it);
      times[request].push_back(queue.now());
    });
  }
  void RunFor(absl::Duration duration) {
    queue.RunUntil(queue.now() + duration);
  }
  size_t Count(uint64_t request, DecodeEvent event) {
    size_t n = 0;
    for (DecodeEvent it : heard[request]) n += it == event ? 1 : 0;
    return n;
  }

  EventQueue queue;
  absl::Time start = queue.now();
  EngineModel model;
  std::map<uint64_t, std::vector<DecodeEvent>> heard;
  std::map<uint64_t, std::vector<absl::Time>> times;
};

TEST_CASE("a stream is made token by token", "[emulator]") {
  Engine it;
  it.Decode(1, 1000, 10);
  it.RunFor(absl::Seconds(1));
  CHECK(it.Count(1, DecodeEvent::kToken) == 10);
  CHECK(it.heard[1].back() == DecodeEvent::kWhole);
  CHECK(it.model.memory_used() == 0);
  // A step alone takes 2.6 ms and 0.1 ms for its only stream.
  CHECK(it.times[1][5] - it.times[1][4] == absl::Microseconds(2700));
}

TEST_CASE("a full batch is slower", "[emulator]") {
  Engine it;
  for (uint64_t n = 1; n <= 10; ++n) it.Decode(n, 100, 50);
  it.RunFor(absl::Seconds(1));
  CHECK(it.times[1][5] - it.times[1][4] == absl::Microseconds(3600));
}

TEST_CASE("a prompt that was not read elsewhere delays its stream",
          "[emulator]") {
  Engine it;
  it.Decode(1, 3333, 5, /*has_handle=*/false);
  it.RunFor(absl::Seconds(2));
  // 3333 tokens at half of 33.3 a millisecond.
  CHECK(it.times[1][0] - it.start > absl::Milliseconds(199));
  CHECK(it.times[1][0] - it.start < absl::Milliseconds(215));
}

TEST_CASE("what does not fit is refused and never runs", "[emulator]") {
  EngineModelOptions options;
  options.memory_tokens = 5000;
  options.slots = 3;
  Engine it(EngineStage::kDecode, options);
  it.Decode(1, 3000, 100);
  it.Decode(2, 3000, 100);
  it.Decode(3, 100, 100);
  it.Decode(4, 100, 100);
  it.Decode(5, 100, 100);
  it.RunFor(absl::Seconds(2));
  CHECK(it.heard[2] == std::vector<DecodeEvent>{DecodeEvent::kRefused});
  CHECK(it.heard[5] == std::vector<DecodeEvent>{DecodeEvent::kRefused});
  CHECK(it.model.runs().count(2) == 0);
  CHECK(it.Count(4, DecodeEvent::kWhole) == 1);
}

TEST_CASE("the newest of the least urgent yields its memory", "[emulator]") {
  EngineModelOptions options;
  options.memory_tokens = 2100;
  Engine it(EngineStage::kDecode, options);
  it.Decode(1, 1000, 100, true, /*priority=*/1);
  it.Decode(2, 1000, 100, true, /*priority=*/0);
  it.RunFor(absl::Seconds(3));
  CHECK(it.model.preemptions() >= 1);
  // Both end whole, the urgent one first.
  CHECK(it.Count(1, DecodeEvent::kToken) == 100);
  CHECK(it.Count(2, DecodeEvent::kToken) == 100);
  CHECK(it.times[2].back() < it.times[1].back());
}

TEST_CASE("a crash breaks off what runs, and a start serves again",
          "[emulator]") {
  Engine it;
  it.Decode(1, 1000, 1000);
  it.RunFor(absl::Milliseconds(100));
  it.model.Crash();
  it.Decode(2, 1000, 10);
  it.RunFor(absl::Milliseconds(100));
  CHECK(it.heard[1].back() == DecodeEvent::kBroken);
  CHECK(it.heard[2] == std::vector<DecodeEvent>{DecodeEvent::kUnreachable});
  CHECK(it.model.memory_used() == 0);
  it.model.Restart();
  it.Decode(3, 1000, 10);
  it.RunFor(absl::Milliseconds(100));
  CHECK(it.heard[3].back() == DecodeEvent::kWhole);
}

TEST_CASE("a lost answer runs on without its caller", "[emulator]") {
  EngineModelOptions options;
  options.lost_answers = 1;
  Engine it(EngineStage::kDecode, options);
  it.Decode(1, 1000, 500);
  it.RunFor(absl::Seconds(5));
  CHECK(it.Count(1, DecodeEvent::kBroken) == 1);
  CHECK(it.Count(1, DecodeEvent::kWhole) == 0);
  CHECK(it.model.running() == 0);
}

TEST_CASE("prompts are read one after the other", "[emulator]") {
  Engine it(EngineStage::kPrefill);
  std::vector<absl::Duration> ends;
  for (int n = 0; n < 3; ++n) {
    it.model.ReadPrompt(3333, [&](PromptResult result) {
      CHECK(result == PromptResult::kRead);
      ends.push_back(it.queue.now() - it.start);
    });
  }
  it.RunFor(absl::Seconds(1));
  REQUIRE(ends.size() == 3);
  CHECK(ends[1] - ends[0] > absl::Milliseconds(99));
  CHECK(ends[2] - ends[1] > absl::Milliseconds(99));
}

TEST_CASE("a cancelled stream gives its memory back", "[emulator]") {
  Engine it;
  uint64_t id = it.Decode(1, 1000, 1000);
  it.RunFor(absl::Milliseconds(50));
  CHECK(it.model.memory_used() > 1000);
  it.model.Cancel(id);
  it.RunFor(absl::Milliseconds(50));
  CHECK(it.model.memory_used() == 0);
  CHECK(it.Count(1, DecodeEvent::kWhole) == 0);
}

}  // namespace
}  // namespace chervilwick
