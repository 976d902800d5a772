// State machine of one stream.

#include "chervilwick/dispatch/stream_lifecycle.h"

#include <algorithm>

namespace chervilwick {
namespace {

// Fraction of a KV cache handle's lifetime during which it is used.
constexpr double kUsableHandleShare = 0.7;
// A prompt that takes longer than its estimate times this factor plus this
// margin is read elsewhere.
constexpr double kPromptTimeoutFactor = 3;
constexpr absl::Duration kPromptTimeoutMargin = absl::Milliseconds(250);
// Time without data after which a failure of the decode engine is reported, so
// that the scheduler avoids it.
constexpr absl::Duration kSilenceThreshold = absl::Milliseconds(700);
// Maximum decode calls of one stream, including refused ones.
constexpr uint32_t kMaxDecodeSends = 4;
// The same for sends to engines that could not be reached, of a stream that
// needs engines of one software version.
constexpr uint32_t kMaxUnreachableSends = 8;
// Expected output, as a multiple of the client's estimate.
constexpr double kOutputMargin = 1.2;
// A client's timeout for an event is assumed to be the longest of a fixed time
// and these multiples of the route's objectives. The rest of it beyond
// kEventTimeoutShare is reserved for the response to reach the client.
constexpr absl::Duration kMinClientTimeout = absl::Seconds(2);
constexpr double kClientTimeoutObjectives = 4;
constexpr double kClientTimeoutPauses = 8;
constexpr double kEventTimeoutShare = 0.85;
constexpr absl::Duration kRetryAfterRefusal = absl::Milliseconds(500);

}  // namespace

absl::string_view ReasonText(StreamRefusalReason reason) {
  switch (reason) {
    case StreamRefusalReason::kQueueTooLong:
      return "queue_too_long";
    case StreamRefusalReason::kWaitedTooLong:
      return "waited_too_long";
    case StreamRefusalReason::kNoEngines:
      return "no_engines";
    case StreamRefusalReason::kNoRetryBudget:
      return "retry_budget_used_up";
    case StreamRefusalReason::kQuarantined:
      return "quarantined";
    case StreamRefusalReason::kVersionGone:
      return "software_version_gone";
    case StreamRefusalReason::kVersionUnreachable:
      return "software_version_unreachable";
  }
  return "unknown";
}

StreamLifecycle::StreamLifecycle(const Services& services,
                                 const StreamTerms& terms, StreamPort& port)
    : services_(services),
      terms_(terms),
      port_(port),
      software_(terms.software) {}

absl::Duration StreamLifecycle::ClientTimeout(absl::Duration objective,
                                              absl::Duration pause_objective) {
  return std::max({kMinClientTimeout, objective * kClientTimeoutObjectives,
                   pause_objective * kClientTimeoutPauses});
}

absl::Duration StreamLifecycle::EventTimeoutFor(
    absl::Duration objective, absl::Duration pause_objective) {
  return kEventTimeoutShare * ClientTimeout(objective, pause_objective);
}

absl::Duration StreamLifecycle::SilenceThreshold() { return kSilenceThreshold; }

StreamJob StreamLifecycle::MakeJob(absl::Time now) const {
  StreamJob job;
  job.id = terms_.id;
  job.service = terms_.service;
  job.arrived = terms_.arrived;
  job.first_event_due = terms_.arrived + terms_.objective - terms_.spent_before;
  job.client_deadline = terms_.arrived + port_.EventTimeout();
  if (is_streaming_) {
    // A streaming client's timeout restarts with each event.
    job.first_event_due = now + terms_.pause_objective;
    job.client_deadline = now + port_.EventTimeout();
  }
  job.is_started = is_streaming_ || terms_.is_taken_up;
  job.software = software_;
  job.priority = terms_.priority;
  job.may_have_run = runs_ > 0 || is_streaming_ || phase_ == Phase::kPrompt ||
                     phase_ == Phase::kDecode;
  job.prompt_tokens = terms_.prompt_tokens;
  job.output_tokens = terms_.max_output_tokens;
  if (terms_.output_hint) {
    double expected = *terms_.output_hint * kOutputMargin;
    job.output_tokens =
        std::min(job.output_tokens, static_cast<uint32_t>(expected));
  }
  if (reads_at_decode_) {
    job.prompt_cached_until = absl::InfiniteFuture();
  } else if (HasFreshHandle(now)) {
    job.prompt_cached_until =
        *handle_made_ + port_.HandleLifetime() * kUsableHandleShare;
  }
  job.excluded = excluded_;
  if (phase_ == Phase::kDecode) job.excluded.insert(decode_engine());
  if (phase_ == Phase::kPrompt) job.excluded.insert(prompt_engine());
  return job;
}

void StreamLifecycle::Submit(absl::Time now) {
  phase_ = Phase::kWaiting;
  ask_at_ = absl::InfiniteFuture();
  if (RefuseIfQuarantined(now)) return;
  if (!may_run_again_) {
    End("runs_forbidden", kRetryAfterRefusal);
    return;
  }
  std::optional<StreamRefusal> refusal =
      services_.scheduler.Submit(MakeJob(now), now);
  if (refusal) {
    End(ReasonText(refusal->reason), refusal->retry_after);
    return;
  }
  port_.WakeScheduler();
}

void StreamLifecycle::End(absl::string_view reason,
                          absl::Duration retry_after) {
  StreamEnding ending;
  ending.reason = reason;
  if (is_streaming_) {
    ending.kind = StreamEnding::Kind::kCut;
  } else if (runs_ > 0) {
    ending.kind = StreamEnding::Kind::kFailed;
  } else {
    ending.retry_after = retry_after;
  }
  port_.End(ending);
}

void StreamLifecycle::OnRefused(const StreamRefusal& refusal, absl::Time now) {
  if (phase_ == Phase::kWaiting) {
    End(ReasonText(refusal.reason), refusal.retry_after);
  } else if (replacement_ == Replacement::kQueued) {
    OnReplacementRefused(ReasonText(refusal.reason), now);
  }
}

StreamLifecycle::Step StreamLifecycle::MakeStep(
    const StreamPlacement& placement, absl::Time now) {
  Step step;
  step.placement = placement;
  step.holds_prompt_place = placement.prompt_tokens > 0;
  step.holds_decode_place = true;
  const BackendState* decode = services_.backends.Find(placement.decode);
  step.placed_on_suspect = decode != nullptr && decode->IsSuspect(now);
  step.started = now;
  return step;
}

void StreamLifecycle::OnPlaced(const StreamPlacement& placement,
                               absl::Time now) {
  if (phase_ != Phase::kWaiting) {
    OnReplacementPlaced(placement, now);
    return;
  }
  step_ = MakeStep(placement, now);
  if (placement.prefill && terms_.reserves_place) {
    StartReservation(now);
  } else if (placement.prefill) {
    StartPrompt(now);
  } else {
    StartDecode(now);
  }
}

bool StreamLifecycle::IsQuarantined(absl::Time now) const {
  return services_.suspects.IsQuarantined(terms_.content, now);
}

bool StreamLifecycle::MayNotRunAgain(absl::Time now) const {
  return terms_.content.is_trial || IsQuarantined(now);
}

bool StreamLifecycle::RefuseIfQuarantined(absl::Time now) {
  if (!IsQuarantined(now)) return false;
  Release(step_);
  DropHandle();
  End(ReasonText(StreamRefusalReason::kQuarantined),
      services_.suspects.RetryAfter(terms_.content, now));
  return true;
}

void StreamLifecycle::RecheckQuarantine(absl::Time now) {
  if (phase_ != Phase::kWaiting || !IsQuarantined(now)) return;
  services_.scheduler.Withdraw(terms_.id);
  RefuseIfQuarantined(now);
}

absl::Duration StreamLifecycle::PromptTimeout(const Step& step) {
  return step.placement.prefill_estimate * kPromptTimeoutFactor +
         kPromptTimeoutMargin;
}

void StreamLifecycle::SendPrompt(Step& step, absl::Time now) {
  // The first prompt call counts against the budget only if it is refused.
  if (prompt_sends_ > 0) ++counted_sends_;
  ++prompt_sends_;
  step.started = now;
  const BackendName& engine = *step.placement.prefill;
  const BackendState* prefill = services_.backends.Find(engine);
  step.engine_started_ms =
      prefill == nullptr ? 0 : prefill->record.born_unix_ms;
  ArmTimer(now);
  services_.suspects.ReportSent(terms_.content, now);
  port_.SendPrompt(engine);
}

void StreamLifecycle::StartPrompt(absl::Time now) {
  if (RefuseIfQuarantined(now)) return;
  if (!TakeSendBudget()) {
    OnNoBudget(now);
    return;
  }
  phase_ = Phase::kPrompt;
  silence_reported_ = false;
  ask_at_ = now + PromptTimeout(*step_);
  SendPrompt(*step_, now);
}

void StreamLifecycle::OnPromptRead(absl::Time now) {
  Step& step = next_ ? *next_ : *step_;
  if (phase_ == Phase::kPrompt) DropReplacement("prompt_read", now);
  ReleasePrompt(step);
  services_.backends.ReportSuccess(*step.placement.prefill, now);
  absl::Duration estimate = step.placement.prefill_estimate;
  absl::Duration taken = now - step.started;
  if (estimate > absl::ZeroDuration() && taken < PromptTimeout(step)) {
    services_.scheduler.ObservePrompt(absl::FDivDuration(taken, estimate));
  }
  handle_made_ = now;
  if (next_) {
    ReplaceDecode(now);
  } else {
    StartDecode(now);
  }
  port_.WakeScheduler();
}

void StreamLifecycle::ReportPromptFailure(const Step& step, PromptFailure why,
                                          absl::Time now) {
  const BackendName& prefill = *step.placement.prefill;
  bool was_counted = prompt_sends_ > 1;
  switch (why) {
    case PromptFailure::kRefused:
      if (!was_counted) ++counted_sends_;
      services_.backends.ReportFull(prefill, now);
      return;
    case PromptFailure::kUnreachable:
      if (was_counted) UncountSend();
      ReportUnreachable(prefill, now);
      break;
    case PromptFailure::kClosed:
    case PromptFailure::kBroken:
      ReportLost(step, StreamStage::kPrompt, why == PromptFailure::kClosed,
                 now);
      services_.backends.ReportFailure(prefill, now);
      break;
  }
  excluded_.insert(prefill);
}

void StreamLifecycle::OnPromptFailed(PromptFailure why, absl::Time now) {
  if (next_) {
    OnReplacementPromptFailed(why, now);
    return;
  }
  ReportPromptFailure(*step_, why, now);
  ReleasePrompt(*step_);
  if (replacement_ == Replacement::kNone && prompt_sends_ >= kMaxPromptSends) {
    reads_at_decode_ = true;
    StartDecode(now);
    return;
  }
  Release(step_);
  if (!TakeOverReplacement()) Submit(now);
}

bool StreamLifecycle::HasFreshHandle(absl::Time now) const {
  return handle_made_ &&
         now - *handle_made_ < port_.HandleLifetime() * kUsableHandleShare;
}

bool StreamLifecycle::IsDecodeLost(const Step& step, absl::Time now) const {
  const BackendState* decode = services_.backends.Find(step.placement.decode);
  if (decode == nullptr || decode->pause_ends_at > now) return true;
  bool is_other = software_ && (decode->HasOutdatedRecord() ||
                                decode->record.software != *software_);
  if (is_other) return true;
  return !step.placed_on_suspect && decode->IsSuspect(now);
}

void StreamLifecycle::StartDecode(absl::Time now) {
  // Another engine can use the prompt's KV cache.
  if (!step_->holds_decode_place || IsDecodeLost(*step_, now)) {
    Release(step_);
    Submit(now);
    return;
  }
  if (RefuseIfQuarantined(now)) return;
  if (!TakeSendBudget()) {
    OnNoBudget(now);
    return;
  }
  SendDecode(now);
}

void StreamLifecycle::SendDecode(absl::Time now) {
  phase_ = Phase::kDecode;
  ++counted_sends_;
  ++decode_sends_;
  ++runs_;
  step_->started = now;
  const BackendName& engine = step_->placement.decode;
  const BackendRecord& record = services_.backends.Find(engine)->record;
  step_->engine_started_ms = record.born_unix_ms;
  longest_gap_ = absl::ZeroDuration();
  is_run_streaming_ = false;
  is_run_written_ = false;
  run_engine_ = engine;
  run_record_ = {record.born_unix_ms, record.software};
  run_start_ms_ = record.born_unix_ms;
  is_start_certain_ = false;
  has_sent_since_ = false;
  is_start_asked_ = false;
  start_ask_at_ = now;
  OnAlive(now);
  services_.suspects.ReportSent(terms_.content, now);
  step_->holds_reservation = false;
  port_.SendDecode(engine, HasFreshHandle(now));
}

void StreamLifecycle::OnStreaming(absl::Time now) {
  if (!has_sent_since_) OnAnswered(now);
  last_event_ = now;
  is_streaming_ = true;
  is_run_streaming_ = true;
  run_written_since_ = now;
  OnAlive(now);
}

void StreamLifecycle::OnProgress(absl::Time now) {
  if (is_run_streaming_) {
    longest_gap_ = std::max(longest_gap_, now - silent_since_);
  }
  last_event_ = now;
  has_events_ = true;
  if (start_ask_at_ <= now) {
    has_sent_since_ = true;
    AskStart();
  }
  if (!is_run_written_ &&
      now - run_written_since_ >= CrashSuspects::kWrittenTime) {
    is_run_written_ = true;
    services_.suspects.ReportWritten(terms_.content.parts, now);
  }
  services_.backends.ReportAlive(decode_engine(), now);
  OnAlive(now);
}

void StreamLifecycle::OnCompleted(absl::Time now) {
  DropReplacement("completed", now);
  services_.suspects.ReportCompleted(terms_.content, now);
  services_.scheduler.ObserveStream(now - step_->started);
  services_.backends.ReportSuccess(decode_engine(), now);
}

void StreamLifecycle::OnDecodeRefused(bool is_wrong_server, absl::Time now) {
  --runs_;
  BackendName decode = decode_engine();
  if (handle_made_ && ++handle_refusals_ > 1) {
    DropHandle();
    reads_at_decode_ = true;
  }
  services_.backends.ReportFull(decode, now);
  if (is_wrong_server) ReportUnreachable(decode, now);
  Release(step_);
  excluded_.insert(decode);
  if (decode_sends_ >= kMaxDecodeSends) {
    End(ReasonText(StreamRefusalReason::kNoEngines), kRetryAfterRefusal);
    return;
  }
  if (!TakeOverReplacement()) Submit(now);
}

bool StreamLifecycle::MayResume() const {
  return may_run_again_ && terms_.resumable && has_resume_point_ &&
         runs_ < terms_.attempts && decode_sends_ < kMaxDecodeSends;
}

void StreamLifecycle::OnDecodeFailed(DecodeFailure why, absl::Time now) {
  BackendName decode = decode_engine();
  bool is_unreachable = why == DecodeFailure::kUnreachable;
  if (is_unreachable) {
    --runs_;
    UncountSend();
    ReportUnreachable(decode, now);
    // Its engines are few. It waits for one that is known to be reachable.
    if (software_ && ++unreachable_sends_ <= kMaxUnreachableSends) {
      --decode_sends_;
    }
  } else {
    services_.backends.ReportFailure(decode, now);
    ReportLost(*step_, StreamStage::kDecode, why == DecodeFailure::kClosed,
               now);
  }
  Release(step_);
  excluded_.insert(decode);
  if (is_unreachable ? decode_sends_ < kMaxDecodeSends : MayResume()) {
    if (is_unreachable) {
      if (!TakeOverReplacement()) Submit(now);
    } else if (IsVersionPending()) {
      AwaitVersion(now);
    } else {
      Resume(now);
    }
    return;
  }
  End("backend_broke_off", kRetryAfterRefusal);
}

void StreamLifecycle::Resume(absl::Time now) {
  port_.OnResumed();
  if (!TakeOverReplacement()) Submit(now);
}

void StreamLifecycle::OnAbandoned(StreamStage stage, absl::Time now) {
  ReportLost(stage == StreamStage::kPrompt ? PromptStep() : *step_, stage,
             /*is_closed=*/false, now);
}

void StreamLifecycle::ReportLost(const Step& step, StreamStage stage,
                                 bool is_closed, absl::Time now) {
  const BackendName& engine = stage == StreamStage::kPrompt
                                  ? *step.placement.prefill
                                  : step.placement.decode;
  services_.suspects.ReportLost(
      {terms_.content.request, engine, step.engine_started_ms, step.started,
       is_closed, terms_.content.parts},
      now);
}

void StreamLifecycle::ReportUnreachable(const BackendName& engine,
                                        absl::Time now) {
  services_.backends.ReportUnreachable(engine, now);
  services_.suspects.ReportServerEnd(engine, now);
}

void StreamLifecycle::DropHandle() {
  if (!handle_made_) return;
  handle_made_.reset();
  port_.FreeHandle();
}

void StreamLifecycle::ReleasePrompt(Step& step) {
  if (!step.holds_prompt_place) return;
  services_.scheduler.ReleasePrompt(step.placement);
  step.holds_prompt_place = false;
}

void StreamLifecycle::ReleaseDecode(Step& step) {
  if (step.holds_reservation) {
    port_.DropReservation();
    step.holds_reservation = false;
  }
  if (!step.holds_decode_place) return;
  services_.scheduler.ReleaseDecode(step.placement);
  step.holds_decode_place = false;
}

void StreamLifecycle::Release(std::optional<Step>& step) {
  if (!step) return;
  ReleasePrompt(*step);
  ReleaseDecode(*step);
  port_.WakeScheduler();
}

void StreamLifecycle::Close() {
  services_.scheduler.Withdraw(terms_.id);
  Release(step_);
  Release(next_);
}

}  // namespace chervilwick
