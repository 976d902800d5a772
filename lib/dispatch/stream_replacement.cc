// How a stream replaces the call to a silent engine.

#include <algorithm>
#include <utility>

#include "chervilwick/dispatch/stream_lifecycle.h"

namespace chervilwick {
namespace {

// Time without data after which another engine is sought for a resumable
// stream: at least this, and a multiple of the longest gap between the events
// of the run, since an engine that paces slowly is not silent.
constexpr absl::Duration kResumeThreshold = absl::Milliseconds(1400);
constexpr double kResumeThresholdGaps = 2;
// Time until a replacement that was refused is sought again.
constexpr absl::Duration kSeekInterval = absl::Milliseconds(500);
constexpr absl::string_view kNoOtherEngine = "no_other_engine";

}  // namespace

absl::Duration StreamLifecycle::ResumeThreshold() const {
  // A client that has left can't be helped.
  return std::max(
      kResumeThreshold,
      std::min(kResumeThresholdGaps * longest_gap_, port_.EventTimeout()));
}

void StreamLifecycle::ArmTimer(absl::Time now) {
  absl::Time due =
      replacement_ == Replacement::kNone ? ask_at_ : absl::InfiniteFuture();
  if (replacement_ == Replacement::kPrompt) due = next_prompt_due_;
  if (phase_ == Phase::kDecode) {
    if (is_streaming_) due = std::min(due, last_event_ + terms_.stall_limit);
    if (!silence_reported_) {
      due = std::min(due, silent_since_ + SilenceThreshold());
    }
  }
  if (due != absl::InfiniteFuture()) port_.ArmTimer(due - now);
}

void StreamLifecycle::OnTimer(absl::Time now) {
  switch (phase_) {
    case Phase::kWaiting:
      OnWaitingTimer(now);
      return;
    case Phase::kReserving:
      OnReservationTimer(now);
      return;
    case Phase::kPrompt:
      OnPromptTimer(now);
      return;
    case Phase::kDecode:
      OnDecodeTimer(now);
      return;
  }
}

void StreamLifecycle::OnPromptTimer(absl::Time now) {
  if (replacement_ == Replacement::kNone && now >= ask_at_) {
    if (!silence_reported_) {
      silence_reported_ = true;
      services_.backends.ReportFailure(prompt_engine(), now);
      port_.OnSilent(StreamStage::kPrompt, prompt_engine());
    }
    SeekReplacement(now);
  }
  ArmTimer(now);
}

void StreamLifecycle::OnDecodeTimer(absl::Time now) {
  if (is_streaming_ && now >= last_event_ + terms_.stall_limit) {
    EndStalled(now);
    return;
  }
  if (!silence_reported_ && now >= silent_since_ + SilenceThreshold()) {
    silence_reported_ = true;
    services_.backends.ReportFailure(decode_engine(), now);
    port_.OnSilent(StreamStage::kDecode, decode_engine());
  }
  if (replacement_ == Replacement::kPrompt && now >= next_prompt_due_) {
    BackendName prefill = prompt_engine();
    services_.backends.ReportFailure(prefill, now);
    port_.OnSilent(StreamStage::kPrompt, prefill);
    DropReplacement("prompt_silent", now);
    excluded_.insert(prefill);
    ask_at_ = now;
  }
  if (replacement_ == Replacement::kNone && now >= ask_at_) {
    SeekReplacement(now);
  }
  ArmTimer(now);
}

void StreamLifecycle::EndStalled(absl::Time now) {
  DropReplacement("stalled", now);
  services_.backends.ReportFailure(decode_engine(), now);
  if (port_.CancelDecode("stalled")) {
    ReportLost(*step_, StreamStage::kDecode, /*is_closed=*/false, now);
  }
  End("engine_stalled", absl::ZeroDuration());
}

void StreamLifecycle::OnAlive(absl::Time now) {
  DropReplacement("engine_went_on", now);
  silent_since_ = now;
  silence_reported_ = false;
  ask_at_ = now + ResumeThreshold();
  ArmTimer(now);
}

void StreamLifecycle::SeekReplacement(absl::Time now) {
  ask_at_ = absl::InfiniteFuture();
  if (phase_ == Phase::kDecode && !MayResume()) return;
  if (IsVersionPending()) {
    ask_at_ = now + kSeekInterval;
    return;
  }
  if (prompt_sends_ >= kMaxPromptSends) {
    if (phase_ == Phase::kPrompt) {
      ReplacePromptByDecode(now);
      return;
    }
    reads_at_decode_ = true;
  }
  port_.OnReplacement(ReplacementStep::kSought, "");
  if (MayNotRunAgain(now)) {
    OnReplacementRefused(ReasonText(StreamRefusalReason::kQuarantined), now);
    return;
  }
  std::optional<StreamRefusal> refusal =
      services_.scheduler.Submit(MakeJob(now), now);
  if (refusal) {
    OnReplacementRefused(ReasonText(refusal->reason), now);
    return;
  }
  replacement_ = Replacement::kQueued;
  // The place that the prompt's stream is to take is chosen anew.
  if (phase_ == Phase::kPrompt) ReleaseDecode(*step_);
  port_.WakeScheduler();
}

void StreamLifecycle::OnReplacementPlaced(const StreamPlacement& placement,
                                          absl::Time now) {
  if (replacement_ != Replacement::kQueued) {
    services_.scheduler.ReleasePrompt(placement);
    services_.scheduler.ReleaseDecode(placement);
    return;
  }
  next_ = MakeStep(placement, now);
  replacement_ = Replacement::kNone;
  if (phase_ == Phase::kDecode && placement.decode == decode_engine()) {
    OnReplacementRefused(kNoOtherEngine, now);
  } else if (MayNotRunAgain(now)) {
    OnReplacementRefused(ReasonText(StreamRefusalReason::kQuarantined), now);
  } else if (phase_ == Phase::kPrompt) {
    ReplacePrompt(now);
  } else if (placement.prefill) {
    PrepareReplacement(now);
  } else {
    ReplaceDecode(now);
  }
}

void StreamLifecycle::PrepareReplacement(absl::Time now) {
  // Both the prompt and the stream are sent again.
  if (!port_.HasRepeats(counted_sends_ + 1 - retries_taken_) ||
      !TakeSendBudget()) {
    OnReplacementRefused(ReasonText(StreamRefusalReason::kNoRetryBudget), now);
    return;
  }
  replacement_ = Replacement::kPrompt;
  next_prompt_due_ = now + PromptTimeout(*next_);
  SendPrompt(*next_, now);
}

void StreamLifecycle::ReplacePrompt(absl::Time now) {
  // With another prompt call, the retry for the decode call is taken as well,
  // since the open call may be about to succeed and would need none.
  uint32_t needed = counted_sends_ + (next_->placement.prefill ? 1 : 0);
  uint32_t missing = needed > retries_taken_ ? needed - retries_taken_ : 0;
  if (missing > 0 && !port_.HasRepeats(missing)) {
    OnReplacementRefused(ReasonText(StreamRefusalReason::kNoRetryBudget), now);
    return;
  }
  for (; missing > 0 && port_.TakeRepeat(); --missing) ++retries_taken_;
  // The open prompt call is that of the first step until it is cancelled.
  std::optional<Step> next = std::exchange(next_, std::nullopt);
  CancelSilentPrompt(now);
  Release(step_);
  step_ = std::move(next);
  if (step_->placement.prefill) {
    StartPrompt(now);
  } else {
    SendDecode(now);
  }
}

void StreamLifecycle::CancelSilentPrompt(absl::Time now) {
  if (port_.CancelPrompt("prompt_silent")) {
    ReportLost(*step_, StreamStage::kPrompt, /*is_closed=*/false, now);
  } else if (prompt_sends_ > 1) {
    UncountSend();
  }
  excluded_.insert(prompt_engine());
}

bool StreamLifecycle::AcquireDecodeSend(const Step& step, absl::Time now) {
  absl::string_view reason;
  if (!step.holds_decode_place || IsDecodeLost(step, now)) {
    reason = kNoOtherEngine;
  } else if (MayNotRunAgain(now)) {
    reason = ReasonText(StreamRefusalReason::kQuarantined);
  } else if (!TakeSendBudget()) {
    reason = ReasonText(StreamRefusalReason::kNoRetryBudget);
  } else {
    return true;
  }
  OnReplacementRefused(reason, now);
  return false;
}

void StreamLifecycle::ReplacePromptByDecode(absl::Time now) {
  if (!AcquireDecodeSend(*step_, now)) return;
  CancelSilentPrompt(now);
  ReleasePrompt(*step_);
  reads_at_decode_ = true;
  SendDecode(now);
}

void StreamLifecycle::ReplaceDecode(absl::Time now) {
  if (!AcquireDecodeSend(*next_, now)) return;
  BackendName silent = decode_engine();
  if (port_.CancelDecode("timeout")) {
    services_.backends.ReportFailure(silent, now);
    ReportLost(*step_, StreamStage::kDecode, /*is_closed=*/false, now);
  } else {
    --runs_;
    UncountSend();
  }
  excluded_.insert(silent);
  Release(step_);
  step_ = std::move(next_);
  next_.reset();
  replacement_ = Replacement::kNone;
  port_.OnResumed();
  SendDecode(now);
}

void StreamLifecycle::OnReplacementRefused(absl::string_view reason,
                                           absl::Time now) {
  // The prompt has been read for this replacement.
  if (replacement_ == Replacement::kPrompt) DropHandle();
  Release(next_);
  next_.reset();
  replacement_ = Replacement::kNone;
  port_.OnReplacement(ReplacementStep::kRefused, reason);
  ask_at_ = now + kSeekInterval;
  ArmTimer(now);
}

void StreamLifecycle::DropReplacement(absl::string_view sign, absl::Time now) {
  if (replacement_ == Replacement::kNone) return;
  if (replacement_ == Replacement::kQueued) {
    services_.scheduler.Withdraw(terms_.id);
  } else if (port_.CancelPrompt(sign)) {
    ReportLost(*next_, StreamStage::kPrompt, /*is_closed=*/false, now);
  } else if (prompt_sends_ > 1) {
    UncountSend();
  }
  Release(next_);
  next_.reset();
  replacement_ = Replacement::kNone;
  port_.OnReplacement(ReplacementStep::kWithdrawn, sign);
}

bool StreamLifecycle::TakeOverReplacement() {
  switch (replacement_) {
    case Replacement::kNone:
      return false;
    case Replacement::kQueued:
      phase_ = Phase::kWaiting;
      ask_at_ = absl::InfiniteFuture();
      break;
    case Replacement::kPrompt:
      phase_ = Phase::kPrompt;
      ask_at_ = next_prompt_due_;
      silence_reported_ = false;
      step_ = std::move(next_);
      next_.reset();
      break;
  }
  replacement_ = Replacement::kNone;
  return true;
}

void StreamLifecycle::OnReplacementPromptFailed(PromptFailure why,
                                                absl::Time now) {
  ReportPromptFailure(*next_, why, now);
  Release(next_);
  next_.reset();
  replacement_ = Replacement::kNone;
  SeekReplacement(now);
  ArmTimer(now);
}

}  // namespace chervilwick
