// A front with the product's own decisions.

#include "dispatch_front.h"

#include <utility>

#include "chervilwick/support/overloaded.h"
#include "client_watch.h"

namespace chervilwick {
namespace {

// From one front to another.
constexpr absl::Duration kAnnounceDelay = absl::Milliseconds(1);

}  // namespace

// One stream: carries out its lifecycle's decisions at the modelled engines.
class DispatchFront::Stream : public StreamPort {
 public:
  Stream(DispatchFront& front, ExchangeId id, const EmulatedRequest& request,
         OutcomeHandler handler)
      : front_(front),
        id_(id),
        request_(request),
        handler_(std::move(handler)),
        lifecycle_({front.backends_, front.scheduler_, front.suspects_},
                   TermsOf(front, id, request), *this),
        client_(front.queue_,
                StreamLifecycle::ClientTimeout(request.objective,
                                               request.pause_objective),
                [this] { Finish(EmulatedOutcome::Kind::kLeft); }),
        timer_(front.queue_,
               [this] { lifecycle_.OnTimer(front_.queue_.now()); }) {}

  void Start() { lifecycle_.Start(front_.queue_.now()); }
  StreamLifecycle& lifecycle() { return lifecycle_; }

 private:
  static StreamTerms TermsOf(const DispatchFront& front, ExchangeId id,
                             const EmulatedRequest& request) {
    StreamTerms terms;
    terms.id = id;
    terms.service = front.options_.service;
    terms.content.request = Fingerprint(request.number);
    terms.arrived = front.queue_.now();
    terms.objective = request.objective;
    terms.pause_objective = request.pause_objective;
    terms.priority = request.priority;
    terms.attempts = 3;
    terms.resumable = request.resumable;
    terms.prompt_tokens = static_cast<uint32_t>(request.prompt_tokens);
    terms.max_output_tokens = 2 * request.output_hint;
    terms.output_hint = request.output_hint;
    return terms;
  }

  // ---- StreamPort ----

  absl::Duration EventTimeout() const override {
    return StreamLifecycle::EventTimeoutFor(request_.objective,
                                            request_.pause_objective);
  }
  absl::Duration HandleLifetime() const override {
    return front_.options_.engine.handle_lifetime;
  }
  bool TakeRepeat() override { return front_.repeats_.TryTake(); }
  void ReturnRepeat() override { front_.repeats_.Return(); }
  bool HasRepeats(uint32_t repeats) override {
    return front_.repeats_.Left() >= repeats;
  }
  void ArmTimer(absl::Duration delay) override { timer_.Arm(delay); }
  void FreeHandle() override {}
  void OnSilent(StreamStage /*stage*/, const BackendName& /*engine*/) override {
  }
  void OnReplacement(ReplacementStep /*step*/,
                     absl::string_view /*reason*/) override {}
  void OnResumed() override { tokens_before_ = tokens_; }
  void WakeScheduler() override { front_.WakeScheduler(); }

  void SendPrompt(const BackendName& engine) override {
    uint64_t call = prompt_.Begin(*front_.engines_.at(engine));
    prompt_.id = prompt_.engine->ReadPrompt(
        request_.prompt_tokens, [this, alive = alive_, call](PromptResult it) {
          if (*alive && call == prompt_.number) OnPrompt(it);
        });
  }

  void SendDecode(const BackendName& engine, bool with_handle) override {
    uint64_t call = decode_.Begin(*front_.engines_.at(engine));
    DecodeRun run;
    run.request = request_.number;
    run.priority = request_.priority;
    run.prompt_tokens = request_.prompt_tokens + tokens_;
    run.output_tokens = request_.output_tokens - tokens_;
    run.has_handle = with_handle;
    decode_.id = decode_.engine->Decode(
        run, [this, alive = alive_, call](DecodeEvent it) {
          if (*alive && call == decode_.number) OnDecode(it);
        });
  }

  bool CancelPrompt(absl::string_view /*sign*/) override {
    prompt_.Cancel();
    return true;
  }
  bool CancelDecode(absl::string_view /*sign*/) override {
    decode_.Cancel();
    return true;
  }

  void End(const StreamEnding& ending) override {
    switch (ending.kind) {
      case StreamEnding::Kind::kRefused:
        Finish(EmulatedOutcome::Kind::kRefused, ending.retry_after);
        return;
      case StreamEnding::Kind::kFailed:
        Finish(EmulatedOutcome::Kind::kFailed);
        return;
      case StreamEnding::Kind::kCut:
        Finish(EmulatedOutcome::Kind::kCut);
        return;
    }
  }

  // ---- Answers of engines ----

  // A call in progress. Results of another number belong to an earlier call.
  struct Call {
    uint64_t Begin(EngineModel& at) {
      engine = &at;
      return ++number;
    }
    void End() {
      engine = nullptr;
      ++number;
    }
    void Cancel() {
      if (engine != nullptr) engine->Cancel(id);
      End();
    }

    EngineModel* engine = nullptr;
    uint64_t number = 0;
    uint64_t id = 0;  // at the engine
  };

  void OnPrompt(PromptResult result) {
    prompt_.End();
    absl::Time now = front_.queue_.now();
    switch (result) {
      case PromptResult::kRead:
        lifecycle_.OnPromptRead(now);
        return;
      case PromptResult::kRefused:
        lifecycle_.OnPromptFailed(PromptFailure::kRefused, now);
        return;
      case PromptResult::kUnreachable:
        lifecycle_.OnPromptFailed(PromptFailure::kUnreachable, now);
        return;
      case PromptResult::kBroken:
        lifecycle_.OnPromptFailed(PromptFailure::kBroken, now);
        return;
    }
  }

  void OnDecode(DecodeEvent event) {
    absl::Time now = front_.queue_.now();
    switch (event) {
      case DecodeEvent::kToken:
        if (tokens_++ == tokens_before_) lifecycle_.OnStreaming(now);
        lifecycle_.OnProgress(now);
        client_.OnToken();
        return;
      case DecodeEvent::kWhole:
        decode_.End();
        lifecycle_.OnCompleted(now);
        Finish(EmulatedOutcome::Kind::kWhole);
        return;
      case DecodeEvent::kRefused:
        decode_.End();
        lifecycle_.OnDecodeRefused(/*is_wrong_server=*/false, now);
        return;
      case DecodeEvent::kUnreachable:
        decode_.End();
        tokens_before_ = tokens_;
        lifecycle_.OnDecodeFailed(DecodeFailure::kUnreachable, now);
        return;
      case DecodeEvent::kBroken:
        decode_.End();
        tokens_before_ = tokens_;
        lifecycle_.OnDecodeFailed(DecodeFailure::kClosed, now);
        return;
    }
  }

  void Finish(EmulatedOutcome::Kind kind,
              absl::Duration retry_after = absl::ZeroDuration()) {
    if (!*alive_) return;
    *alive_ = false;
    prompt_.Cancel();
    decode_.Cancel();
    timer_.Cancel();
    lifecycle_.Close();
    EmulatedOutcome outcome = client_.End(kind, retry_after);
    EraseLater(front_.queue_, front_.streams_, id_);
    handler_(outcome);
  }

  DispatchFront& front_;
  const ExchangeId id_;
  const EmulatedRequest request_;
  OutcomeHandler handler_;
  StreamLifecycle lifecycle_;
  ClientWatch client_;
  SilenceWatch timer_;
  // Shared with the callbacks that may come after this has gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Call prompt_;
  Call decode_;
  int64_t tokens_ = 0;
  int64_t tokens_before_ = 0;  // delivered by earlier runs
};

DispatchFront::DispatchFront(EventQueue& queue, EngineModels& engines,
                             std::string name, const FrontModelOptions& options)
    : queue_(queue),
      engines_(engines),
      name_(std::move(name)),
      options_(options),
      scheduler_(backends_, ZoneName("a"), options.scheduler),
      random_(options.seed),
      repeats_(queue, options) {
  ServiceTraits traits;
  traits.engine = EngineTraits();
  traits.engine->slots = options.engine.slots;
  traits.engine->memory_tokens =
      static_cast<uint64_t>(options.engine.memory_tokens);
  traits.engine->handle_lifetime = options.engine.handle_lifetime;
  scheduler_.SetEngineTraits({{options.service, traits}});
}

DispatchFront::~DispatchFront() = default;

void DispatchFront::Submit(const EmulatedRequest& request,
                           OutcomeHandler handler) {
  ExchangeId id(next_id_++);
  repeats_.OnRequest();
  if (suspects_.IsQuarantined(Fingerprint(request.number), queue_.now())) {
    EmulatedOutcome outcome;
    outcome.kind = EmulatedOutcome::Kind::kFailed;
    handler(outcome);
    return;
  }
  auto stream =
      std::make_unique<Stream>(*this, id, request, std::move(handler));
  Stream* raw = stream.get();
  streams_[id] = std::move(stream);
  raw->Start();
}

void DispatchFront::OnRecord(const BackendRecord& record) {
  backends_.Upsert(record);
  WakeScheduler();
}

void DispatchFront::OnRemoved(const BackendName& id) { backends_.Remove(id); }

void DispatchFront::Exchange(const std::vector<FrontModel*>& others) {
  size_t waiting = 0;
  peers_.clear();
  for (FrontModel* it : others) {
    auto* front = dynamic_cast<DispatchFront*>(it);
    if (front == nullptr || front == this) continue;
    peers_.push_back(front);
    backends_.SetPeerUse(front->name_, front->backends_.OwnUse());
    suspects_.MergeUpdate(front->suspects_.RecentUpdate(queue_.now()),
                          queue_.now());
    waiting += front->waiting();
  }
  scheduler_.SetPeersWaiting(waiting);
  if (scheduler_.waiting() == 0) return;
  queue_.After(PeerUseJitter(random_()), [this] { WakeScheduler(); });
}

bool DispatchFront::IsIdle() const {
  if (!streams_.empty() || scheduler_.waiting() != 0) return false;
  return backends_.OwnUse().empty();
}

void DispatchFront::WakeScheduler() {
  if (is_woken_) return;
  is_woken_ = true;
  queue_.After(absl::ZeroDuration(), [this] {
    is_woken_ = false;
    RunScheduler();
  });
}

void DispatchFront::Announce() {
  queue_.After(kAnnounceDelay, [this, use = backends_.OwnUse()] {
    for (DispatchFront* it : peers_) it->backends_.SetPeerUse(name_, use);
  });
}

void DispatchFront::RunScheduler() {
  std::vector<StreamDecision> decisions = scheduler_.Decide(queue_.now());
  for (const StreamDecision& decision : decisions) {
    std::visit(Overloaded{
                   [&](const StreamPlacement& it) {
                     auto stream = streams_.find(it.id);
                     if (stream == streams_.end()) {
                       scheduler_.ReleasePrompt(it);
                       scheduler_.ReleaseDecode(it);
                       return;
                     }
                     stream->second->lifecycle().OnPlaced(it, queue_.now());
                   },
                   [&](const StreamRefusal& it) {
                     auto stream = streams_.find(it.id);
                     if (stream == streams_.end()) return;
                     stream->second->lifecycle().OnRefused(it, queue_.now());
                   },
               },
               decision);
  }
  if (options_.announces && !decisions.empty()) Announce();
  if (scheduler_.waiting() == 0 || is_ticking_) return;
  is_ticking_ = true;
  queue_.After(StreamScheduler::kSchedulingInterval, [this] {
    is_ticking_ = false;
    RunScheduler();
  });
}

}  // namespace chervilwick
