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
// Time without data after which a resumable stream is resumed elsewhere.
constexpr absl::Duration kResumeThreshold = absl::Milliseconds(1400);
// Maximum sends of one stream by stage, including refused ones.
constexpr uint32_t kMaxDecodeSends = 4;
constexpr uint32_t kMaxPromptSends = 3;
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
  }
  return "unknown";
}

StreamLifecycle::StreamLifecycle(const Services& services,
                                 const StreamTerms& terms, StreamPort& port)
    : services_(services), terms_(terms), port_(port) {}

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

absl::Duration StreamLifecycle::ResumeDelay() {
  return kResumeThreshold - kSilenceThreshold;
}

StreamJob StreamLifecycle::MakeJob(absl::Time now) const {
  StreamJob job;
  job.id = terms_.id;
  job.service = terms_.service;
  job.arrived = terms_.arrived;
  job.first_event_due = terms_.arrived + terms_.objective;
  job.client_deadline = terms_.arrived + port_.EventTimeout();
  if (is_streaming_) {
    // A streaming client's timeout restarts with each event.
    job.first_event_due = now + terms_.pause_objective;
    job.client_deadline = now + port_.EventTimeout();
  }
  job.priority = terms_.priority;
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
  return job;
}

void StreamLifecycle::Submit(absl::Time now) {
  phase_ = Phase::kWaiting;
  if (RefuseIfQuarantined(now)) return;
  std::optional<StreamRefusal> refusal =
      services_.scheduler.Submit(MakeJob(now), now);
  if (refusal) {
    OnRefused(*refusal);
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

void StreamLifecycle::OnRefused(const StreamRefusal& refusal) {
  End(ReasonText(refusal.reason), refusal.retry_after);
}

void StreamLifecycle::OnPlaced(const StreamPlacement& placement,
                               absl::Time now) {
  placement_ = placement;
  holds_prompt_place_ = placement.prompt_tokens > 0;
  holds_decode_place_ = true;
  const BackendState* decode = services_.backends.Find(placement.decode);
  placed_on_suspect_ = decode != nullptr && decode->IsSuspect(now);
  step_started_ = now;
  if (placement.prefill) {
    StartPrompt(now);
  } else {
    StartDecode(now);
  }
}

bool StreamLifecycle::RefuseIfQuarantined(absl::Time now) {
  absl::Duration left =
      services_.suspects.QuarantineLeft(terms_.fingerprint, now);
  if (left == absl::ZeroDuration()) return false;
  Release();
  DropHandle();
  OnRefused({terms_.id, StreamRefusalReason::kQuarantined, left});
  return true;
}

void StreamLifecycle::RecheckQuarantine(absl::Time now) {
  if (phase_ != Phase::kWaiting) return;
  if (!services_.suspects.IsQuarantined(terms_.fingerprint, now)) return;
  services_.scheduler.Withdraw(terms_.id);
  RefuseIfQuarantined(now);
}

bool StreamLifecycle::AcquireSendBudget() {
  // A retry taken for a call that reached no engine is used for the next call.
  if (counted_sends_ <= retries_taken_) return true;
  if (port_.TakeRepeat()) {
    ++retries_taken_;
    return true;
  }
  Release();
  DropHandle();
  OnRefused(
      {terms_.id, StreamRefusalReason::kNoRetryBudget, kRetryAfterRefusal});
  return false;
}

void StreamLifecycle::StartPrompt(absl::Time now) {
  if (RefuseIfQuarantined(now) || !AcquireSendBudget()) return;
  // The first prompt call counts against the budget only if it is refused.
  if (prompt_sends_ > 0) ++counted_sends_;
  phase_ = Phase::kPrompt;
  ++prompt_sends_;
  const BackendState* prefill = services_.backends.Find(*placement_->prefill);
  engine_started_ms_ = prefill == nullptr ? 0 : prefill->record.born_unix_ms;
  port_.SendPrompt(*placement_->prefill,
                   placement_->prefill_estimate * kPromptTimeoutFactor +
                       kPromptTimeoutMargin);
}

void StreamLifecycle::OnPromptRead(absl::Time now) {
  ReleasePrompt();
  services_.backends.ReportSuccess(*placement_->prefill, now);
  if (placement_->prefill_estimate > absl::ZeroDuration()) {
    services_.scheduler.ObservePrompt(
        absl::FDivDuration(now - step_started_, placement_->prefill_estimate));
  }
  handle_made_ = now;
  StartDecode(now);
  port_.WakeScheduler();
}

void StreamLifecycle::OnPromptFailed(PromptFailure why, absl::Time now) {
  BackendName prefill = *placement_->prefill;
  bool was_counted = prompt_sends_ > 1;
  switch (why) {
    case PromptFailure::kRefused:
      if (!was_counted) ++counted_sends_;
      services_.backends.ReportFull(prefill, now);
      break;
    case PromptFailure::kUnreachable:
      if (was_counted) --counted_sends_;
      ReportUnreachable(prefill, now);
      excluded_.insert(prefill);
      break;
    case PromptFailure::kClosed:
    case PromptFailure::kBroken:
      ReportLost(prefill, why == PromptFailure::kClosed, now);
      services_.backends.ReportFailure(prefill, now);
      excluded_.insert(prefill);
      break;
  }
  ReleasePrompt();
  if (prompt_sends_ >= kMaxPromptSends) {
    reads_at_decode_ = true;
    StartDecode(now);
    return;
  }
  Release();
  Submit(now);
}

bool StreamLifecycle::HasFreshHandle(absl::Time now) const {
  return handle_made_ &&
         now - *handle_made_ < port_.HandleLifetime() * kUsableHandleShare;
}

void StreamLifecycle::StartDecode(absl::Time now) {
  phase_ = Phase::kDecode;
  const BackendState* decode = services_.backends.Find(placement_->decode);
  // The engine may have been removed, or have requested a pause, while the
  // prompt was read.
  bool is_unusable = decode == nullptr || decode->pause_ends_at > now;
  // If it was found unreachable, another engine can use the prompt's KV cache.
  bool is_lost = !is_unusable && !placed_on_suspect_ && decode->IsSuspect(now);
  if (is_unusable || is_lost) {
    Release();
    Submit(now);
    return;
  }
  if (RefuseIfQuarantined(now) || !AcquireSendBudget()) return;
  ++counted_sends_;
  ++decode_sends_;
  ++runs_;
  step_started_ = now;
  engine_started_ms_ = decode->record.born_unix_ms;
  port_.SendDecode(placement_->decode, HasFreshHandle(now));
}

void StreamLifecycle::OnStreaming(absl::Time now) {
  ReleasePrompt();
  last_event_ = now;
  handle_made_.reset();
  is_streaming_ = true;
}

void StreamLifecycle::OnProgress(absl::Time now) {
  was_silent_ = false;
  last_event_ = now;
  services_.backends.ReportAlive(placement_->decode, now);
}

void StreamLifecycle::OnCompleted(absl::Time now) {
  services_.suspects.ReportCompleted(terms_.fingerprint, now);
  services_.scheduler.ObserveStream(now - step_started_);
  services_.backends.ReportSuccess(placement_->decode, now);
}

void StreamLifecycle::OnDecodeRefused(bool is_wrong_server, absl::Time now) {
  --runs_;
  BackendName decode = placement_->decode;
  if (handle_made_ && ++handle_refusals_ > 1) {
    DropHandle();
    reads_at_decode_ = true;
  }
  services_.backends.ReportFull(decode, now);
  if (is_wrong_server) ReportUnreachable(decode, now);
  Release();
  excluded_.insert(decode);
  if (decode_sends_ >= kMaxDecodeSends) {
    OnRefused({terms_.id, StreamRefusalReason::kNoEngines, kRetryAfterRefusal});
    return;
  }
  Submit(now);
}

bool StreamLifecycle::MayResume() const {
  return terms_.resumable && has_resume_point_ && runs_ < terms_.attempts &&
         decode_sends_ < kMaxDecodeSends;
}

void StreamLifecycle::OnDecodeFailed(DecodeFailure why, absl::Time now) {
  BackendName decode = placement_->decode;
  bool is_unreachable = why == DecodeFailure::kUnreachable;
  if (is_unreachable) {
    --runs_;
    --counted_sends_;
    ReportUnreachable(decode, now);
  } else {
    services_.backends.ReportFailure(decode, now);
    ReportLost(decode, why == DecodeFailure::kClosed, now);
  }
  Release();
  excluded_.insert(decode);
  if (is_unreachable ? decode_sends_ < kMaxDecodeSends : MayResume()) {
    if (!is_unreachable) port_.OnResumed();
    Submit(now);
    return;
  }
  End("backend_broke_off", kRetryAfterRefusal);
}

StreamLifecycle::SilenceVerdict StreamLifecycle::OnDecodeSilent(
    absl::Time now) {
  services_.backends.ReportFailure(placement_->decode, now);
  if (!MayResume()) {
    bool is_stalled =
        is_streaming_ && TimeUntilStall(now) <= absl::ZeroDuration();
    return is_stalled ? SilenceVerdict::kEnd : SilenceVerdict::kIgnore;
  }
  if (was_silent_) return SilenceVerdict::kResume;
  was_silent_ = true;
  return SilenceVerdict::kWait;
}

void StreamLifecycle::OnAbandoned(absl::Time now) {
  if (phase_ == Phase::kWaiting) return;
  const StreamPlacement& placement = *placement_;
  ReportLost(phase_ == Phase::kPrompt ? *placement.prefill : placement.decode,
             /*is_closed=*/false, now);
}

void StreamLifecycle::ReportLost(const BackendName& engine, bool is_closed,
                                 absl::Time now) {
  services_.suspects.ReportLost({terms_.fingerprint, engine, engine_started_ms_,
                                 step_started_, is_closed},
                                now);
}

void StreamLifecycle::ReportUnreachable(const BackendName& engine,
                                        absl::Time now) {
  services_.backends.ReportUnreachable(engine, now);
  services_.suspects.ReportServerEnd(engine, now);
}

absl::Duration StreamLifecycle::TimeUntilStall(absl::Time now) const {
  return last_event_ + terms_.stall_limit - now;
}

void StreamLifecycle::DropHandle() {
  if (!handle_made_) return;
  handle_made_.reset();
  port_.FreeHandle();
}

void StreamLifecycle::ReleasePrompt() {
  if (holds_prompt_place_) services_.scheduler.ReleasePrompt(*placement_);
  holds_prompt_place_ = false;
}

void StreamLifecycle::Release() {
  if (!placement_) return;
  ReleasePrompt();
  if (holds_decode_place_) services_.scheduler.ReleaseDecode(*placement_);
  holds_decode_place_ = false;
  port_.WakeScheduler();
}

void StreamLifecycle::Close() {
  services_.scheduler.Withdraw(terms_.id);
  Release();
}

}  // namespace chervilwick
