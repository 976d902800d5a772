// Model engine under virtual time.

#include "chervilwick/emulator/engine_model.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace chervilwick {
namespace {

// One way between two hosts of a deployment.
constexpr absl::Duration kWay = absl::Microseconds(500);

}  // namespace

EngineModel::EngineModel(EventQueue& queue, const EngineModelOptions& options,
                         EngineStage stage, uint64_t seed)
    : queue_(queue), options_(options), stage_(stage), random_(seed) {}

void EngineModel::Emit(const DecodeHandler& handler, DecodeEvent event) {
  if (!handler) return;
  queue_.After(kWay, [handler, event] { handler(event); });
}

uint64_t EngineModel::ReadPrompt(int64_t tokens, PromptHandler handler) {
  uint64_t id = next_id_++;
  PromptResult refusal = PromptResult::kRead;
  if (!is_up_) refusal = PromptResult::kUnreachable;
  if (is_up_ && prompts_.size() > options_.max_waiting_prompts) {
    refusal = PromptResult::kRefused;
  }
  if (refusal != PromptResult::kRead) {
    queue_.After(2 * kWay, [handler, refusal] { handler(refusal); });
    return id;
  }
  prompts_.push_back({id, tokens, std::move(handler)});
  NextPrompt();
  return id;
}

void EngineModel::NextPrompt() {
  if (is_reading_ || prompts_.empty()) return;
  is_reading_ = true;
  absl::Duration time =
      absl::Milliseconds(static_cast<double>(prompts_.front().tokens) /
                         options_.prompt_tokens_per_ms) *
      slowness_;
  queue_.After(time, [this, id = prompts_.front().id, epoch = epoch_] {
    if (epoch == epoch_) FinishPrompt(id);
  });
}

void EngineModel::FinishPrompt(uint64_t id) {
  is_reading_ = false;
  ++prompts_read_;
  // A prompt whose caller left was read in vain.
  if (!prompts_.empty() && prompts_.front().id == id) {
    PromptHandler handler = std::move(prompts_.front().handler);
    prompts_.pop_front();
    if (handler) {
      queue_.After(kWay, [handler] { handler(PromptResult::kRead); });
    }
  }
  NextPrompt();
}

uint64_t EngineModel::Decode(const DecodeRun& run, DecodeHandler handler) {
  uint64_t id = next_id_++;
  if (!is_up_) {
    queue_.After(2 * kWay, [handler] { handler(DecodeEvent::kUnreachable); });
    return id;
  }
  bool fits = streams_.size() < options_.slots &&
              memory_used_ + run.prompt_tokens <= options_.memory_tokens;
  if (!fits) {
    queue_.After(2 * kWay, [handler] { handler(DecodeEvent::kRefused); });
    return id;
  }
  ++runs_[run.request];
  if (run.has_handle) ++prompts_taken_;
  Stream stream;
  stream.id = id;
  stream.run = run;
  stream.handler = std::move(handler);
  stream.resident = run.prompt_tokens;
  stream.unread = run.has_handle ? 0 : run.prompt_tokens;
  double draw = std::uniform_real_distribution<double>()(random_);
  if (draw < options_.lost_answers) {
    stream.breaks_at = static_cast<int64_t>(
        draw / options_.lost_answers * static_cast<double>(run.output_tokens));
  }
  memory_used_ += stream.resident;
  absl::Duration transfer =
      run.has_handle
          ? options_.transfer_per_token * static_cast<double>(run.prompt_tokens)
          : absl::ZeroDuration();
  streams_[id] = std::move(stream);
  queue_.After(kWay + transfer, [this, epoch = epoch_] {
    if (epoch == epoch_) ScheduleStep();
  });
  return id;
}

EngineModel::Stream* EngineModel::ChooseReader() {
  for (auto& it : streams_) {
    Stream& stream = it.second;
    if (stream.unread == 0) continue;
    // One that was preempted comes back once there is room for it.
    if (stream.resident == 0) {
      int64_t need = stream.run.prompt_tokens + stream.made;
      if (memory_used_ + need > options_.memory_tokens) continue;
      stream.resident = need;
      memory_used_ += need;
    }
    return &stream;
  }
  return nullptr;
}

void EngineModel::ScheduleStep() {
  if (is_stepping_ || streams_.empty()) return;
  Stream* reader = ChooseReader();
  int64_t piece = reader == nullptr
                      ? 0
                      : std::min(reader->unread, options_.prompt_piece_tokens);
  size_t decoding = 0;
  for (const auto& it : streams_) decoding += it.second.unread == 0 ? 1 : 0;
  if (decoding == 0 && reader == nullptr) return;
  is_stepping_ = true;
  absl::Duration time =
      options_.step + options_.step_per_stream * static_cast<double>(decoding) +
      absl::Milliseconds(
          static_cast<double>(piece) /
          (options_.prompt_tokens_per_ms * options_.own_prompt_speed));
  std::optional<uint64_t> reader_id;
  if (reader != nullptr) reader_id = reader->id;
  queue_.After(time * slowness_, [this, reader_id, piece, epoch = epoch_] {
    if (epoch == epoch_) FinishStep(reader_id, piece);
  });
}

void EngineModel::FinishStep(std::optional<uint64_t> reader, int64_t piece) {
  is_stepping_ = false;
  MakeTokens();
  auto it = reader ? streams_.find(*reader) : streams_.end();
  if (it != streams_.end()) {
    it->second.unread = std::max<int64_t>(0, it->second.unread - piece);
  }
  PreemptIfFull();
  ScheduleStep();
}

void EngineModel::MakeTokens() {
  std::vector<uint64_t> ended;
  for (auto& it : streams_) {
    Stream& stream = it.second;
    if (stream.unread != 0) continue;
    ++stream.made;
    ++stream.resident;
    ++memory_used_;
    if (stream.made == stream.breaks_at) {
      Emit(stream.handler, DecodeEvent::kBroken);
      stream.handler = nullptr;
    }
    Emit(stream.handler, DecodeEvent::kToken);
    if (stream.made < stream.run.output_tokens) continue;
    Emit(stream.handler, DecodeEvent::kWhole);
    ended.push_back(it.first);
  }
  for (uint64_t id : ended) Remove(id);
}

void EngineModel::PreemptIfFull() {
  while (memory_used_ > options_.memory_tokens) {
    Stream* victim = nullptr;
    for (auto& it : streams_) {
      Stream& stream = it.second;
      if (stream.resident == 0) continue;
      bool is_later =
          victim == nullptr || stream.run.priority >= victim->run.priority;
      if (is_later) victim = &stream;
    }
    if (victim == nullptr) return;
    memory_used_ -= victim->resident;
    victim->resident = 0;
    victim->unread = victim->run.prompt_tokens + victim->made;
    ++preemptions_;
  }
}

void EngineModel::Remove(uint64_t id) {
  auto it = streams_.find(id);
  if (it == streams_.end()) return;
  memory_used_ -= it->second.resident;
  streams_.erase(it);
}

void EngineModel::Cancel(uint64_t id) {
  queue_.After(kWay, [this, id] {
    Remove(id);
    for (auto it = prompts_.begin(); it != prompts_.end(); ++it) {
      if (it->id != id) continue;
      // The one that is being read is read to its end.
      if (it == prompts_.begin() && is_reading_) {
        it->handler = nullptr;
      } else {
        prompts_.erase(it);
      }
      return;
    }
  });
}

void EngineModel::Crash() {
  if (!is_up_) return;
  is_up_ = false;
  ++epoch_;
  is_reading_ = false;
  is_stepping_ = false;
  for (const Prompt& it : prompts_) {
    if (!it.handler) continue;
    queue_.After(kWay,
                 [handler = it.handler] { handler(PromptResult::kBroken); });
  }
  for (const auto& it : streams_) {
    Emit(it.second.handler, DecodeEvent::kBroken);
  }
  prompts_.clear();
  streams_.clear();
  memory_used_ = 0;
}

void EngineModel::Restart() { is_up_ = true; }

}  // namespace chervilwick
