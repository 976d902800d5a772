// Relay of a stream of events.

#include "chervilwick/front/stream_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(200);
// Part of a handle's lifetime after which it is not used any more.
constexpr double kHandleShare = 0.7;
// A prompt that takes longer than estimated by this factor and margin is read
// elsewhere.
constexpr double kPrefillPatience = 3;
constexpr absl::Duration kPrefillMargin = absl::Milliseconds(250);
// Silence of a decoding engine after which it gets no new streams.
constexpr absl::Duration kSilenceNoted = absl::Milliseconds(700);
// Silence after which a resumable stream goes on elsewhere.
constexpr absl::Duration kSilenceResume = absl::Milliseconds(1400);
// Engines that one stream is offered to, refusals included.
constexpr uint32_t kMaxDecodeSends = 4;
constexpr uint32_t kMaxPrefills = 3;
// Expected output, as a multiple of the client's estimate.
constexpr double kOutputMargin = 1.2;
// A client gives an event up after the longest of these; the last part of it
// is left for the way back.
constexpr absl::Duration kClientPatience = absl::Seconds(2);
constexpr double kPatienceObjectives = 4;
constexpr double kPatiencePauses = 8;
constexpr double kPatienceUsed = 0.85;
constexpr absl::Duration kRetryAfterFull = absl::Milliseconds(500);
constexpr int kOk = 200;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

absl::string_view ReasonText(StreamRefusalReason reason) {
  switch (reason) {
    case StreamRefusalReason::kQueueTooLong:
      return "queue_too_long";
    case StreamRefusalReason::kWaitedTooLong:
      return "waited_too_long";
    case StreamRefusalReason::kNoEngines:
      return "no_engines";
    case StreamRefusalReason::kNoBudget:
      return "retry_budget_used_up";
  }
  return "unknown";
}

}  // namespace

StreamRelay::StreamRelay(FrontContext& context, AdmittedRequest admitted,
                         Finished finished)
    : Relay(context, std::move(admitted), std::move(finished)),
      silence_(context.loop, [this] { OnSilence(); }) {}

StreamRelay::~StreamRelay() {
  if (call_.value() != 0) context().client.Cancel(call_);
  Release();
}

void StreamRelay::Start() { Submit(); }

absl::Time StreamRelay::ClientPatienceEnd() const {
  absl::Duration patience = std::max(
      {kClientPatience, admitted().route.objective * kPatienceObjectives,
       admitted().route.pause_objective * kPatiencePauses});
  patience = std::min(
      patience * kPatienceUsed,
      std::min(admitted().route.timeout,
               admitted().facts.deadline.value_or(admitted().route.timeout)));
  return admitted().arrived + patience;
}

StreamJob StreamRelay::MakeJob() const {
  StreamJob job;
  job.id = admitted().id;
  job.service = admitted().service;
  job.arrived = admitted().arrived;
  job.first_event_due = admitted().arrived + admitted().route.objective;
  job.give_up_at = ClientPatienceEnd();
  if (is_streaming_) {
    // The client waits from its last event on.
    job.first_event_due = Now() + admitted().route.pause_objective;
    job.give_up_at = Now() + (ClientPatienceEnd() - admitted().arrived);
  }
  job.priority = admitted().route.priority;
  job.prompt_tokens = admitted().facts.prompt_tokens;
  uint32_t most = admitted().facts.max_output_tokens;
  job.output_tokens =
      admitted().facts.output_hint
          ? std::min(most, static_cast<uint32_t>(*admitted().facts.output_hint *
                                                 kOutputMargin))
          : most;
  job.has_prompt = reads_at_decode_ || HasFreshHandle();
  job.excluded = excluded_;
  return job;
}

void StreamRelay::Submit() {
  phase_ = Phase::kWaiting;
  std::optional<StreamRefusal> refusal =
      context().scheduler.Submit(MakeJob(), Now());
  if (refusal) {
    OnRefused(*refusal);
    return;
  }
  context().wake_scheduler();
}

void StreamRelay::OnRefused(const StreamRefusal& refusal) {
  if (is_streaming_) {
    context().server->Abort(admitted().id);
    Finish("cut", kOk, ReasonText(refusal.reason));
    return;
  }
  if (runs_ > 0) {
    End({502, ReasonText(refusal.reason)});
    return;
  }
  End({503, ReasonText(refusal.reason), refusal.retry_after});
}

void StreamRelay::OnPlaced(const StreamPlacement& placement) {
  placement_ = placement;
  holds_prompt_place_ = placement.prompt_tokens > 0;
  holds_decode_place_ = true;
  context().stats.queue_time[admitted().route.name].Add(placement.waited);
  const BackendState* decode = context().backends.Find(placement.decode);
  context().log.Write(
      Now(), "placed",
      {{"id", admitted().facts.request_id},
       {"decode", placement.decode.value()},
       {"prefill", placement.prefill ? placement.prefill->value() : "-"},
       {"tokens", placement.memory_tokens},
       {"engine_tokens",
        decode == nullptr ? int64_t{0} : decode->Total().memory_tokens},
       {"list_age_ms", context().store_age()},
       {"waited_ms", placement.waited},
       {"prefill_ms", placement.prefill_estimate}});
  if (placement.prefill) {
    StartPrefill();
  } else {
    StartDecode();
  }
}

void StreamRelay::StartPrefill() {
  if (!PayForSend()) return;
  // The first prompt call counts as a send only if the engine refuses it.
  if (prefills_ > 0) ++counted_sends_;
  phase_ = Phase::kPrefill;
  ++prefills_;
  const BackendState* backend = context().backends.Find(*placement_->prefill);
  ForwardOptions forward;
  forward.expected = backend->record.id;
  forward.remaining = ClientRemaining();
  forward.prefill_only = true;
  CallOptions options = EngineCallOptions();
  options.connect_timeout = kConnectTimeout;
  body_.clear();
  step_started_ = Now();
  silence_.Arm(placement_->prefill_estimate * kPrefillPatience +
               kPrefillMargin);
  call_ = context().client.Start(
      backend->record.endpoint,
      context().protocol.Forward(admitted().request, forward), options,
      [this](CallEvent event) { OnPrefillEvent(std::move(event)); });
}

bool StreamRelay::PayForSend() {
  if (counted_sends_ == 0 || TakeRepeat()) return true;
  Release();
  FreeHandle();
  OnRefused({admitted().id, StreamRefusalReason::kNoBudget, kRetryAfterFull});
  return false;
}

void StreamRelay::OnPrefillEvent(CallEvent event) {
  std::visit(
      Overloaded{
          [&](HttpHead& head) { head_ = std::move(head); },
          [&](HttpBodyPart& part) { absl::StrAppend(&body_, part.bytes); },
          [&](HttpEnd&) { OnPrefillEnd(); },
          [&](CallFailure&) { OnPrefillFailed("connection failed", false); },
      },
      event);
}

void StreamRelay::OnPrefillEnd() {
  call_ = CallId();
  silence_.Cancel();
  std::optional<std::string> handle = context().protocol.ReadHandle(body_);
  if (head_.status != kOk || !handle) {
    AnswerFacts facts = context().protocol.ReadAnswer(head_);
    if (facts.is_not_run && prefills_ == 1) ++counted_sends_;
    OnPrefillFailed("engine refused", facts.is_not_run);
    return;
  }
  ReleasePromptPlace();
  const BackendState* backend = context().backends.Find(*placement_->prefill);
  context().backends.ReportSuccess(*placement_->prefill, Now());
  context().stats.prompt_time.Add(Now() - step_started_);
  if (placement_->prefill_estimate > absl::ZeroDuration()) {
    double scale =
        absl::FDivDuration(Now() - step_started_, placement_->prefill_estimate);
    context().scheduler.ObservePrompt(scale);
  }
  if (backend == nullptr) {
    OnPrefillFailed("engine gone", false);
    return;
  }
  handle_ = KvSource{backend->record.endpoint, *handle};
  handle_made_ = Now();
  StartDecode();
  context().wake_scheduler();
}

void StreamRelay::OnPrefillFailed(absl::string_view why, bool is_full) {
  call_ = CallId();
  silence_.Cancel();
  BackendName prefill = *placement_->prefill;
  Log("prefill_failed", prefill.value(), why);
  if (is_full) {
    context().backends.ReportFull(prefill, Now());
  } else {
    context().backends.ReportFailure(prefill, Now());
    excluded_.insert(prefill);
  }
  ReleasePromptPlace();
  if (prefills_ >= kMaxPrefills) {
    reads_at_decode_ = true;
    StartDecode();
    return;
  }
  Release();
  Submit();
}

bool StreamRelay::HasFreshHandle() const {
  if (!handle_) return false;
  const EngineTraits* traits = context().engine_traits(admitted().service);
  absl::Duration lifetime = traits == nullptr ? EngineTraits().handle_lifetime
                                              : traits->handle_lifetime;
  return Now() - handle_made_ < lifetime * kHandleShare;
}

void StreamRelay::StartDecode() {
  phase_ = Phase::kDecode;
  const BackendState* backend = context().backends.Find(placement_->decode);
  if (backend == nullptr) {
    Release();
    Submit();
    return;
  }
  if (!PayForSend()) return;
  ++counted_sends_;
  ++decode_sends_;
  ++runs_;
  ForwardOptions forward;
  forward.expected = placement_->decode;
  forward.remaining = ClientRemaining();
  if (HasFreshHandle()) forward.kv_source = handle_;
  forward.resume_after =
      events_.last_id() ? events_.last_id() : admitted().facts.last_event;
  CallOptions options = EngineCallOptions();
  options.connect_timeout = kConnectTimeout;
  step_started_ = Now();
  body_.clear();
  events_.DropRest();
  silence_.Arm(kSilenceNoted);
  call_ = context().client.Start(
      backend->record.endpoint,
      context().protocol.Forward(admitted().request, forward), options,
      [this](CallEvent event) { OnDecodeEvent(std::move(event)); });
}

void StreamRelay::OnDecodeEvent(CallEvent event) {
  std::visit(Overloaded{
                 [&](HttpHead& head) { OnDecodeHead(std::move(head)); },
                 [&](HttpBodyPart& part) { OnDecodeBytes(part.bytes); },
                 [&](HttpEnd&) { OnDecodeEnd(); },
                 [&](CallFailure& failure) { OnDecodeBroken(failure); },
             },
             event);
}

void StreamRelay::OnDecodeHead(HttpHead head) {
  AnswerFacts facts = context().protocol.ReadAnswer(head);
  BackendState* backend = context().backends.Find(placement_->decode);
  if (backend != nullptr && facts.load) {
    backend->time_percent = facts.load->time_percent;
  }
  head_ = std::move(head);
  if (!IsSuccess(head_.status) || !facts.is_engines_own) return;
  ReleasePromptPlace();
  handle_.reset();
  if (is_streaming_) return;  // resumed: the first engine's head stands
  is_streaming_ = true;
  context().stats.first_event[admitted().route.name].Add(Elapsed());
  Log("streaming", placement_->decode.value(), "head received");
  context().server->BeginStream(admitted().id, head_.status,
                                context().protocol.AnswerFields(head_));
}

void StreamRelay::OnDecodeBytes(absl::string_view bytes) {
  silence_.Arm(kSilenceNoted);
  silent_once_ = false;
  context().backends.ReportAlive(placement_->decode);
  AnswerFacts facts = context().protocol.ReadAnswer(head_);
  if (!IsSuccess(head_.status) || !facts.is_engines_own) {
    absl::StrAppend(&body_, bytes);
    return;
  }
  context().server->SendStream(admitted().id, events_.Append(bytes));
}

void StreamRelay::OnDecodeEnd() {
  call_ = CallId();
  silence_.Cancel();
  AnswerFacts facts = context().protocol.ReadAnswer(head_);
  if (facts.is_not_run) {
    OnDecodeNotRun();
    return;
  }
  context().suspects.Clear(admitted().fingerprint);
  if (!IsSuccess(head_.status)) {
    if (is_streaming_) {
      context().server->Abort(admitted().id);
      Finish("cut", head_.status, "resumed run failed");
      return;
    }
    HttpResponse response{head_.status, context().protocol.AnswerFields(head_),
                          body_};
    context().server->Respond(admitted().id, response);
    Finish("answered", head_.status, placement_->decode.value());
    return;
  }
  if (!facts.is_engines_own) {
    OnDecodeBroken({CallError::kMalformed, true});
    return;
  }
  context().server->SendStream(admitted().id, events_.TakeRest());
  context().server->EndStream(admitted().id);
  context().scheduler.ObserveStream(Now() - step_started_);
  context().backends.ReportSuccess(placement_->decode, Now());
  Finish("answered", head_.status, placement_->decode.value());
}

void StreamRelay::OnDecodeNotRun() {
  --runs_;
  BackendName decode = placement_->decode;
  Log("decode_refused", decode.value(),
      handle_ ? "full or prompt gone" : "full");
  if (handle_ && ++handle_refusals_ > 1) {
    FreeHandle();
    reads_at_decode_ = true;
  }
  context().backends.ReportFull(decode, Now());
  if (head_.status == 421) context().backends.ReportFailure(decode, Now());
  Release();
  excluded_.insert(decode);
  if (decode_sends_ >= kMaxDecodeSends) {
    OnRefused(
        {admitted().id, StreamRefusalReason::kNoEngines, kRetryAfterFull});
    return;
  }
  Submit();
}

bool StreamRelay::MayResume() const {
  return admitted().route.resumable && runs_ < admitted().route.attempts &&
         decode_sends_ < kMaxDecodeSends;
}

void StreamRelay::OnDecodeBroken(const CallFailure& failure) {
  call_ = CallId();
  silence_.Cancel();
  BackendName decode = placement_->decode;
  context().backends.ReportFailure(decode, Now());
  Log("decode_broke_off", decode.value(),
      failure.sent ? "connection closed" : "not sent");
  Release();
  excluded_.insert(decode);
  if (!failure.sent) {
    --runs_;
    if (decode_sends_ < kMaxDecodeSends) {
      Submit();
      return;
    }
  } else if (failure.error == CallError::kClosed) {
    context().suspects.ReportBreak(admitted().fingerprint, Now());
  }
  if (failure.sent && MayResume()) {
    ++context().stats.resumed_streams;
    Submit();
    return;
  }
  if (is_streaming_) {
    context().server->Abort(admitted().id);
    Finish("cut", kOk, "backend_broke_off");
    return;
  }
  End({runs_ > 0 ? 502 : 503, "backend_broke_off",
       runs_ > 0 ? absl::ZeroDuration() : kRetryAfterFull});
}

void StreamRelay::OnSilence() {
  if (phase_ == Phase::kPrefill) {
    context().client.Cancel(call_);
    OnPrefillFailed("no answer in time", false);
    return;
  }
  if (phase_ != Phase::kDecode) return;
  context().backends.ReportFailure(placement_->decode, Now());
  Log("decode_silent", placement_->decode.value(), "no bytes");
  if (!MayResume()) return;
  if (!silent_once_) {
    silent_once_ = true;
    silence_.Arm(kSilenceResume - kSilenceNoted);
    return;
  }
  context().client.Cancel(call_);
  OnDecodeBroken({CallError::kConnect, true});
}

void StreamRelay::ReleasePromptPlace() {
  if (holds_prompt_place_) context().scheduler.ReleasePrompt(*placement_);
  holds_prompt_place_ = false;
}

void StreamRelay::Release() {
  if (!placement_) return;
  ReleasePromptPlace();
  if (holds_decode_place_) context().scheduler.ReleaseDecode(*placement_);
  holds_prompt_place_ = false;
  holds_decode_place_ = false;
  context().wake_scheduler();
}

void StreamRelay::FreeHandle() {
  if (!handle_) return;
  context().client.Start(handle_->engine,
                         context().protocol.FreeHandle(handle_->handle),
                         CallOptions(), [](const CallEvent&) {});
  handle_.reset();
}

void StreamRelay::OnClientGone() {
  context().scheduler.Withdraw(admitted().id);
  silence_.Cancel();
  if (call_.value() != 0) context().client.Cancel(call_);
  call_ = CallId();
  FreeHandle();
  Finish("client_gone", 0, is_streaming_ ? "streaming" : "before first event");
}

void StreamRelay::OnTimeout() {
  context().scheduler.Withdraw(admitted().id);
  silence_.Cancel();
  bool unsent = call_.value() != 0 && context().client.IsUnsent(call_);
  if (call_.value() != 0) context().client.Cancel(call_);
  call_ = CallId();
  FreeHandle();
  if (is_streaming_) {
    context().server->Abort(admitted().id);
    Finish("cut", kOk, "timeout");
    return;
  }
  bool never_ran = runs_ == 0 || (runs_ == 1 && unsent);
  End({never_ran ? 503 : 504, "timeout"});
}

}  // namespace chervilwick
