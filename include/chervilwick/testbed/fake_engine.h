// Fake of a model engine or plain service under virtual time.

#ifndef CHERVILWICK_TESTBED_FAKE_ENGINE_H_
#define CHERVILWICK_TESTBED_FAKE_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/engine/engine_types.h"
#include "chervilwick/kernel/event_queue.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

// Text of a prompt whose answer has `output_tokens` tokens. `shared_prefix` is
// put before it.
std::string MakePrompt(uint64_t number, uint32_t output_tokens,
                       const std::string& shared_prefix = "");
// The whole answer to a prompt, as the fake gives it.
std::vector<std::string> ExpectedAnswer(const std::string& prompt);

struct FakeEngineOptions {
  BackendName name;
  PoolRole role = PoolRole::kDecode;
  std::string weights;
  uint32_t places = 20;
  absl::Duration per_token = absl::Milliseconds(25);
  absl::Duration prefill_per_token = absl::Microseconds(100);
  absl::Duration transfer_per_token = absl::Microseconds(2);
  absl::Duration kv_life = absl::Milliseconds(800);
  absl::Duration call_time = absl::Milliseconds(20);
  absl::Duration restart_time = absl::Seconds(2);
  size_t cached_prefixes = 8;
  std::string poison = "POISON";  // prompts with it crash the engine
};

// Effects of calls that were run, for the oracle.
struct FakeEngineLog {
  std::map<std::string, uint64_t> plain_runs;  // by body
  std::map<std::string, uint64_t> model_runs;  // by prompt without its answer
  uint64_t prefills = 0;
  uint64_t computed_tokens = 0;
  uint64_t crashes = 0;
  absl::Time last_start = absl::InfinitePast();
};

class FakeEngine {
 public:
  using Output = std::function<void(EngineTokens)>;
  using Finished = std::function<void(EngineFinished)>;
  // Finds the engine that a prefill result is kept in.
  using Lookup = std::function<FakeEngine*(const std::string& name)>;

  FakeEngine(FakeEngineOptions options, EventQueue& events, Lookup lookup);

  // The agent beside it: where output goes. Calls of an earlier one are cut.
  void Attach(Output output, Finished finished);
  void Detach();

  void Run(const StartWork& start);
  void Cancel(const AttemptId& attempt);
  void Apply(const EngineOrder& order);
  void Crash();
  // Multiplies all times until `until`.
  void SlowDown(double factor, absl::Time until);

  EngineStatus Status() const;
  const FakeEngineLog& log() const { return log_; }
  size_t running() const { return running_.size(); }
  // Model prompts that are running now, without their answers.
  std::vector<std::string> RunningQuestions() const;
  const FakeEngineOptions& options() const { return options_; }
  bool TakeKv(uint64_t handle);

 private:
  struct Running {
    StartWork start;
    uint64_t run = 0;      // tells a later run of the id apart
    uint32_t left = 0;     // tokens until the end of the answer
    uint32_t allowed = 0;  // tokens until the caller's limit
    uint64_t state = 0;
  };

  double Slowdown() const;
  void Prefill(Running& call);
  void FinishPrefill(const AttemptId& id, uint64_t run, uint32_t hits);
  uint32_t PrefixHit(const StartWork& start);
  void BeginDecode(Running& call);
  void Step(const AttemptId& id, uint64_t run);
  void RunPlain(Running& call);
  void End(const AttemptId& id, EngineFinished finished);
  Running* Find(const AttemptId& id, uint64_t run);

  FakeEngineOptions options_;
  EventQueue& events_;
  Lookup lookup_;
  Output output_;
  Finished finished_;
  FakeEngineLog log_;
  std::map<AttemptId, Running> running_;
  std::map<uint64_t, absl::Time> kv_;
  std::deque<std::string> prefixes_;  // cached, latest last
  uint64_t next_kv_ = 1;
  uint64_t next_run_ = 1;
  absl::Time prefill_free_ = absl::InfinitePast();
  absl::Time link_free_ = absl::InfinitePast();
  absl::Time up_at_ = absl::InfinitePast();
  double slowdown_ = 1;
  absl::Time slow_until_ = absl::InfinitePast();
};

}  // namespace chervilwick

#endif  // CHERVILWICK_TESTBED_FAKE_ENGINE_H_
