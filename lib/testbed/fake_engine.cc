// Fake engine.

#include "chervilwick/testbed/fake_engine.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

constexpr char kLengthMark[] = "answer-length=";
constexpr size_t kLengthMarkBytes = sizeof(kLengthMark) - 1;
constexpr char kAnswerMark[] = " a";
constexpr size_t kPrefixBytes = 1024;
constexpr double kPrefixShare = 0.5;

struct ParsedPrompt {
  std::string question;
  uint32_t length = 1;    // tokens of the whole answer
  uint32_t answered = 0;  // tokens of it that the prompt holds
};

// Splits a prompt into the question and the part of its answer that follows.
ParsedPrompt Parse(const std::string& prompt) {
  ParsedPrompt parsed;
  size_t mark = prompt.find(kLengthMark);
  if (mark == std::string::npos) {
    parsed.question = prompt;
    return parsed;
  }
  size_t end = prompt.find(' ', mark);
  if (end == std::string::npos) end = prompt.size();
  parsed.question = prompt.substr(0, end);
  static_cast<void>(absl::SimpleAtoi(
      prompt.substr(mark + kLengthMarkBytes, end - mark - kLengthMarkBytes),
      &parsed.length));
  parsed.answered = static_cast<uint32_t>(std::count(
      prompt.begin() + static_cast<int64_t>(end), prompt.end(), ' '));
  return parsed;
}

std::string NextToken(uint64_t& state) {
  std::string word = absl::StrCat(kAnswerMark, state % 100000);
  state = HashWords(word, state);
  return word;
}

}  // namespace

std::string MakePrompt(uint64_t number, uint32_t output_tokens,
                       const std::string& shared_prefix) {
  return absl::StrCat(shared_prefix, "question-", number, " ", kLengthMark,
                      output_tokens);
}

std::vector<std::string> ExpectedAnswer(const std::string& prompt) {
  ParsedPrompt parsed = Parse(prompt);
  uint64_t state = HashWords(prompt);
  std::vector<std::string> answer;
  for (uint32_t it = 0; it < parsed.length; ++it) {
    answer.push_back(NextToken(state));
  }
  return answer;
}

FakeEngine::FakeEngine(FakeEngineOptions options, EventQueue& events,
                       Lookup lookup)
    : options_(std::move(options)),
      events_(events),
      lookup_(std::move(lookup)) {}

void FakeEngine::Attach(Output output, Finished finished) {
  Detach();
  output_ = std::move(output);
  finished_ = std::move(finished);
}

void FakeEngine::Detach() {
  // The connections of the earlier agent are closed: its calls are cancelled.
  // A plain service does not notice that.
  running_.clear();
  output_ = nullptr;
  finished_ = nullptr;
}

double FakeEngine::Slowdown() const {
  return events_.now() < slow_until_ ? slowdown_ : 1;
}

void FakeEngine::SlowDown(double factor, absl::Time until) {
  slowdown_ = factor;
  slow_until_ = until;
}

std::vector<std::string> FakeEngine::RunningQuestions() const {
  std::vector<std::string> questions;
  for (const auto& [id, call] : running_) {
    if (call.start.kind == WorkKind::kPlain) continue;
    questions.push_back(Parse(call.start.prompt).question);
  }
  return questions;
}

EngineStatus FakeEngine::Status() const {
  EngineStatus status;
  status.up = events_.now() >= up_at_;
  status.weights = options_.weights;
  status.role = options_.role;
  return status;
}

void FakeEngine::Apply(const EngineOrder& order) {
  options_.weights = order.weights;
  options_.role = order.role;
  prefixes_.clear();
}

FakeEngine::Running* FakeEngine::Find(const AttemptId& id, uint64_t run) {
  auto it = running_.find(id);
  bool same = it != running_.end() && it->second.run == run;
  return same ? &it->second : nullptr;
}

void FakeEngine::End(const AttemptId& id, EngineFinished finished) {
  finished.attempt = id;
  running_.erase(id);
  if (finished_) finished_(std::move(finished));
}

void FakeEngine::Run(const StartWork& start) {
  if (events_.now() < up_at_) {
    EngineFinished finished;
    finished.attempt = start.attempt;
    finished.status = WorkStatus::kNotSent;
    finished_(std::move(finished));
    return;
  }
  log_.last_start = events_.now();
  Running& call = running_[start.attempt];
  call = Running{};
  call.start = start;
  call.run = next_run_++;
  if (start.kind != WorkKind::kPlain) {
    ++log_.model_runs[Parse(start.prompt).question];
  }
  if (absl::StrContains(start.prompt, options_.poison)) {
    Crash();
    return;
  }
  switch (start.kind) {
    case WorkKind::kPrefill:
      Prefill(call);
      return;
    case WorkKind::kDecode:
      BeginDecode(call);
      return;
    case WorkKind::kPlain:
      RunPlain(call);
      return;
  }
}

uint32_t FakeEngine::PrefixHit(const StartWork& start) {
  if (start.prompt.size() < kPrefixBytes) return 0;
  std::string prefix = start.prompt.substr(0, kPrefixBytes);
  auto it = std::find(prefixes_.begin(), prefixes_.end(), prefix);
  bool hit = it != prefixes_.end();
  if (hit) prefixes_.erase(it);
  prefixes_.push_back(prefix);
  if (prefixes_.size() > options_.cached_prefixes) prefixes_.pop_front();
  return hit ? static_cast<uint32_t>(start.prompt_tokens * kPrefixShare) : 0;
}

void FakeEngine::Prefill(Running& call) {
  uint32_t hits = PrefixHit(call.start);
  uint32_t tokens = call.start.prompt_tokens - hits;
  log_.computed_tokens += tokens;
  absl::Time begin = std::max(events_.now(), prefill_free_);
  absl::Time end = begin + options_.prefill_per_token * tokens * Slowdown();
  prefill_free_ = end;
  AttemptId id = call.start.attempt;
  uint64_t run = call.run;
  events_.At(end, [this, id, run, hits] { FinishPrefill(id, run, hits); });
}

void FakeEngine::FinishPrefill(const AttemptId& id, uint64_t run,
                               uint32_t hits) {
  Running* call = Find(id, run);
  if (call == nullptr) return;
  ++log_.prefills;
  uint64_t handle = next_kv_++;
  kv_[handle] = events_.now() + options_.kv_life;
  EngineFinished finished;
  finished.prefix_hit_tokens = hits;
  finished.kv_params = absl::StrCat(options_.name.value(), "/", handle);
  End(id, std::move(finished));
}

bool FakeEngine::TakeKv(uint64_t handle) {
  auto it = kv_.find(handle);
  bool held = it != kv_.end() && events_.now() <= it->second;
  if (it != kv_.end()) kv_.erase(it);
  return held;
}

void FakeEngine::BeginDecode(Running& call) {
  std::vector<std::string> source = absl::StrSplit(call.start.kv_params, '/');
  uint64_t handle = 0;
  FakeEngine* holder = source.size() == 2 ? lookup_(source[0]) : nullptr;
  bool parsed = source.size() == 2 && absl::SimpleAtoi(source[1], &handle);
  bool held = parsed && holder != nullptr && holder->TakeKv(handle);
  AttemptId id = call.start.attempt;
  uint64_t run = call.run;
  if (!held) {
    events_.After(absl::ZeroDuration(), [this, id, run] {
      if (Find(id, run) == nullptr) return;
      EngineFinished finished;
      finished.status = WorkStatus::kEngineFailed;
      End(id, std::move(finished));
    });
    return;
  }
  ParsedPrompt parsed_prompt = Parse(call.start.prompt);
  call.left = parsed_prompt.length - parsed_prompt.answered;
  call.allowed = call.start.output_tokens;
  call.state = HashWords(call.start.prompt);
  // Transfers into an engine share its link.
  absl::Duration transfer =
      options_.transfer_per_token * call.start.prompt_tokens;
  link_free_ = std::max(link_free_, events_.now()) + transfer;
  absl::Time first = link_free_ + options_.per_token * Slowdown();
  events_.At(first, [this, id, run] { Step(id, run); });
}

void FakeEngine::Step(const AttemptId& id, uint64_t run) {
  Running* call = Find(id, run);
  if (call == nullptr) return;
  if (call->left == 0) {
    // The prompt holds the whole answer already.
    EngineFinished finished;
    finished.finish_reason = "stop";
    End(id, std::move(finished));
    return;
  }
  EngineTokens tokens;
  tokens.attempt = id;
  tokens.tokens.push_back(NextToken(call->state));
  --call->left;
  --call->allowed;
  bool ended = call->left == 0 || call->allowed == 0;
  bool stopped = call->left == 0;
  output_(std::move(tokens));
  if (!ended) {
    events_.After(options_.per_token * Slowdown(),
                  [this, id, run] { Step(id, run); });
    return;
  }
  EngineFinished finished;
  finished.finish_reason = stopped ? "stop" : "length";
  End(id, std::move(finished));
}

void FakeEngine::RunPlain(Running& call) {
  // What a service has begun it does, even when the caller goes away.
  uint64_t runs = ++log_.plain_runs[call.start.prompt];
  AttemptId id = call.start.attempt;
  uint64_t run = call.run;
  std::string body = absl::StrCat("done ", call.start.prompt, " run ", runs);
  events_.After(options_.call_time * Slowdown(), [this, id, run, body] {
    if (Find(id, run) == nullptr) return;
    EngineFinished finished;
    finished.http_status = 200;
    finished.body = body;
    End(id, std::move(finished));
  });
}

void FakeEngine::Cancel(const AttemptId& attempt) {
  auto it = running_.find(attempt);
  if (it == running_.end()) return;
  uint64_t run = it->second.run;
  events_.After(absl::Milliseconds(1), [this, attempt, run] {
    if (Find(attempt, run) == nullptr) return;
    EngineFinished finished;
    finished.status = WorkStatus::kCancelled;
    End(attempt, std::move(finished));
  });
}

void FakeEngine::Crash() {
  ++log_.crashes;
  up_at_ = events_.now() + options_.restart_time;
  kv_.clear();
  prefixes_.clear();
  prefill_free_ = up_at_;
  link_free_ = up_at_;
  std::vector<AttemptId> ids;
  for (const auto& [id, call] : running_) ids.push_back(id);
  events_.After(absl::Milliseconds(1), [this, ids] {
    for (const AttemptId& id : ids) {
      if (running_.count(id) == 0) continue;
      EngineFinished finished;
      finished.status = WorkStatus::kEngineCrashed;
      End(id, std::move(finished));
    }
  });
}

}  // namespace chervilwick
