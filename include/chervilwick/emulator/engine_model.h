// Model engine under virtual time: batches, memory, stages, handles, faults.

#ifndef CHERVILWICK_EMULATOR_ENGINE_MODEL_H_
#define CHERVILWICK_EMULATOR_ENGINE_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>

#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_record.h"
#include "chervilwick/kernel/event_queue.h"

namespace chervilwick {

// Speed and size of an engine. The defaults are those of the users' engines at
// inkingi: what is measured against them is compared with real days.
struct EngineModelOptions {
  uint32_t slots = 64;
  int64_t memory_tokens = 38202;
  // A step makes one token for each running stream.
  absl::Duration step = absl::Microseconds(2600);
  absl::Duration step_per_stream = absl::Microseconds(100);
  double prompt_tokens_per_ms = 33.3333;
  // Speed at which a decoding engine reads a prompt itself, as a share.
  double own_prompt_speed = 0.5;
  int64_t prompt_piece_tokens = 4096;
  absl::Duration handle_lifetime = absl::Milliseconds(500);
  absl::Duration transfer_per_token = absl::Nanoseconds(200);
  // Prompts that may wait before the next one is refused.
  size_t max_waiting_prompts = 8;
  // Share of streams whose connection breaks while the engine goes on.
  double lost_answers = 0;
};

enum class PromptResult {
  kRead,
  kRefused,      // not run
  kBroken,       // the connection closed before the answer
  kUnreachable,  // no connection
};

enum class DecodeEvent {
  kRefused,      // not run
  kUnreachable,  // no connection: never sent
  kToken,
  kWhole,   // after the last token
  kBroken,  // the connection closed before the end
};

// One run of a stream.
struct DecodeRun {
  uint64_t request = 0;  // of whom
  int priority = 0;      // 0 is the most urgent
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;  // to make from here on
  bool has_handle = false;    // the prompt has been read elsewhere
};

// Runs on an event queue; handlers are called from it, never from inside a
// call.
class EngineModel {
 public:
  using PromptHandler = std::function<void(PromptResult)>;
  using DecodeHandler = std::function<void(DecodeEvent)>;

  EngineModel(EventQueue& queue, const EngineModelOptions& options,
              EngineStage stage, uint64_t seed);
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  // Returns an id for Cancel.
  uint64_t ReadPrompt(int64_t tokens, PromptHandler handler);
  uint64_t Decode(const DecodeRun& run, DecodeHandler handler);
  // The caller closed its connection.
  void Cancel(uint64_t id);

  // All that runs breaks off, and nobody is served until Restart.
  void Crash();
  void Restart();
  // Everything takes that many times as long.
  void SetSlowness(double factor) { slowness_ = factor; }
  void SetLostAnswers(double share) { options_.lost_answers = share; }

  bool is_up() const { return is_up_; }
  EngineStage stage() const { return stage_; }
  size_t running() const { return streams_.size(); }
  int64_t memory_used() const { return memory_used_; }
  uint64_t preemptions() const { return preemptions_; }
  uint64_t prompts_read() const { return prompts_read_; }
  // Runs whose prompt another engine had read.
  uint64_t prompts_taken() const { return prompts_taken_; }
  // Runs begun for a request.
  const std::map<uint64_t, uint32_t>& runs() const { return runs_; }

 private:
  struct Prompt {
    uint64_t id = 0;
    int64_t tokens = 0;
    PromptHandler handler;
  };
  struct Stream {
    uint64_t id = 0;
    DecodeRun run;
    DecodeHandler handler;   // empty once the connection is gone
    int64_t unread = 0;      // tokens that must be read before the next step
    int64_t resident = 0;    // tokens in memory
    int64_t made = 0;        // tokens made
    int64_t breaks_at = -1;  // the connection is lost after that many
  };

  void NextPrompt();
  void FinishPrompt(uint64_t id);
  void ScheduleStep();
  void FinishStep(std::optional<uint64_t> reader, int64_t piece);
  // The stream that reads its prompt in the next step.
  Stream* ChooseReader();
  void MakeTokens();
  void PreemptIfFull();
  void Emit(const DecodeHandler& handler, DecodeEvent event);
  void Remove(uint64_t id);

  EventQueue& queue_;
  EngineModelOptions options_;
  EngineStage stage_;
  std::mt19937_64 random_;
  bool is_up_ = true;
  double slowness_ = 1;
  uint64_t epoch_ = 0;  // of this start
  uint64_t next_id_ = 1;
  std::deque<Prompt> prompts_;  // the first one is being read
  bool is_reading_ = false;
  std::map<uint64_t, Stream> streams_;  // by id, so by age
  bool is_stepping_ = false;
  int64_t memory_used_ = 0;
  uint64_t preemptions_ = 0;
  uint64_t prompts_read_ = 0;
  uint64_t prompts_taken_ = 0;
  std::map<uint64_t, uint32_t> runs_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_EMULATOR_ENGINE_MODEL_H_
