// Baseline fronts.

#include "direct_front.h"

#include <utility>

#include "client_watch.h"

namespace chervilwick {
namespace {

constexpr uint32_t kMaxTries = 3;
constexpr absl::Duration kRetryAfter = absl::Seconds(1);
constexpr absl::Duration kPromptPatience = absl::Seconds(1);

}  // namespace

class DirectFront::Stream {
 public:
  Stream(DirectFront& front, uint64_t id, const EmulatedRequest& request,
         OutcomeHandler handler)
      : front_(front),
        id_(id),
        request_(request),
        handler_(std::move(handler)),
        client_(front.queue_,
                StreamLifecycle::ClientTimeout(request.objective,
                                               request.pause_objective),
                [this] { Finish(EmulatedOutcome::Kind::kLeft); }),
        silence_(front.queue_, [this] { OnPrompt(PromptResult::kBroken); }) {}

  void Start() { TryPrompt(); }

 private:
  bool Begin(EngineStage stage) {
    const BackendRecord* record = front_.Choose(stage, excluded_);
    if (record == nullptr || !Pay()) {
      Finish(runs_ == 0 ? EmulatedOutcome::Kind::kRefused
                        : EmulatedOutcome::Kind::kFailed);
      return false;
    }
    name_ = record->id;
    engine_ = front_.engines_.at(name_).get();
    ++front_.used_[name_];
    ++call_;
    return true;
  }

  bool Pay() {
    bool is_repeat = tries_ > 0;
    return !is_repeat || front_.repeats_.TryTake();
  }

  void EndCall() {
    ++call_;
    silence_.Cancel();
    if (engine_ != nullptr) --front_.used_[name_];
    engine_ = nullptr;
  }

  void TryPrompt() {
    if (!Begin(EngineStage::kPrefill)) return;
    silence_.Arm(kPromptPatience);
    call_id_ = engine_->ReadPrompt(
        request_.prompt_tokens,
        [this, alive = alive_, call = call_](PromptResult it) {
          if (*alive && call == call_) OnPrompt(it);
        });
  }

  void OnPrompt(PromptResult result) {
    BackendName name = name_;
    EndCall();
    if (result == PromptResult::kRead) {
      TryDecode();
      return;
    }
    excluded_.insert(name);
    if (++tries_ < kMaxTries) {
      TryPrompt();
    } else {
      Finish(EmulatedOutcome::Kind::kRefused);
    }
  }

  void TryDecode() {
    if (!Begin(EngineStage::kDecode)) return;
    ++runs_;
    DecodeRun run;
    run.request = request_.number;
    run.priority = request_.priority;
    run.prompt_tokens = request_.prompt_tokens;
    run.output_tokens = request_.output_tokens;
    run.has_handle = true;
    call_id_ = engine_->Decode(
        run, [this, alive = alive_, call = call_](DecodeEvent it) {
          if (*alive && call == call_) OnDecode(it);
        });
  }

  void OnDecode(DecodeEvent event) {
    if (event == DecodeEvent::kToken) {
      is_streaming_ = true;
      client_.OnToken();
      return;
    }
    BackendName name = name_;
    EndCall();
    if (event == DecodeEvent::kWhole) {
      Finish(EmulatedOutcome::Kind::kWhole);
      return;
    }
    if (event == DecodeEvent::kBroken) {
      Finish(is_streaming_ ? EmulatedOutcome::Kind::kCut
                           : EmulatedOutcome::Kind::kFailed);
      return;
    }
    --runs_;
    excluded_.insert(name);
    if (++tries_ < kMaxTries) {
      TryDecode();
    } else {
      Finish(EmulatedOutcome::Kind::kRefused);
    }
  }

  void Finish(EmulatedOutcome::Kind kind) {
    if (!*alive_) return;
    *alive_ = false;
    if (engine_ != nullptr) engine_->Cancel(call_id_);
    EndCall();
    bool refused = kind == EmulatedOutcome::Kind::kRefused;
    EmulatedOutcome outcome =
        client_.End(kind, refused ? kRetryAfter : absl::ZeroDuration());
    EraseLater(front_.queue_, front_.streams_, id_);
    handler_(outcome);
  }

  DirectFront& front_;
  const uint64_t id_;
  const EmulatedRequest request_;
  OutcomeHandler handler_;
  ClientWatch client_;
  SilenceWatch silence_;
  // Shared with the callbacks that may come after this has gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::set<BackendName> excluded_;
  BackendName name_;
  EngineModel* engine_ = nullptr;
  uint64_t call_ = 0;
  uint64_t call_id_ = 0;
  uint32_t tries_ = 0;
  uint32_t runs_ = 0;
  bool is_streaming_ = false;
};

DirectFront::DirectFront(EventQueue& queue, EngineModels& engines,
                         const FrontModelOptions& options)
    : queue_(queue),
      engines_(engines),
      options_(options),
      repeats_(queue, options),
      random_(options.seed) {}

DirectFront::~DirectFront() = default;

void DirectFront::Submit(const EmulatedRequest& request,
                         OutcomeHandler handler) {
  uint64_t id = next_id_++;
  repeats_.OnRequest();
  auto stream =
      std::make_unique<Stream>(*this, id, request, std::move(handler));
  Stream* raw = stream.get();
  streams_[id] = std::move(stream);
  raw->Start();
}

void DirectFront::OnRecord(const BackendRecord& record) {
  records_[record.id] = record;
}

void DirectFront::OnRemoved(const BackendName& id) { records_.erase(id); }

bool DirectFront::IsIdle() const {
  if (!streams_.empty()) return false;
  for (const auto& it : used_) {
    if (it.second != 0) return false;
  }
  return true;
}

const BackendRecord* DirectFront::Choose(
    EngineStage stage, const std::set<BackendName>& excluded) {
  std::vector<const BackendRecord*> candidates;
  for (const auto& it : records_) {
    const BackendRecord& record = it.second;
    bool usable = record.stage == stage && !record.draining &&
                  excluded.count(record.id) == 0;
    if (usable) candidates.push_back(&record);
  }
  if (candidates.empty()) return nullptr;
  auto less_used = [this](const BackendRecord* a, const BackendRecord* b) {
    return used_[a->id] <= used_[b->id] ? a : b;
  };
  switch (options_.policy) {
    case FrontPolicy::kDispatch:
    case FrontPolicy::kRoundRobin:
      return candidates[turns_[stage]++ % candidates.size()];
    case FrontPolicy::kLeastRequests: {
      const BackendRecord* best = candidates.front();
      for (const BackendRecord* it : candidates) best = less_used(best, it);
      return best;
    }
    case FrontPolicy::kTwoChoices:
      return less_used(candidates[random_() % candidates.size()],
                       candidates[random_() % candidates.size()]);
  }
  return nullptr;
}

}  // namespace chervilwick
