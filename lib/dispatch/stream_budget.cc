// The retries that a stream takes from the retry budget.

#include <algorithm>

#include "chervilwick/dispatch/stream_lifecycle.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kRetryAfterRefusal = absl::Milliseconds(500);
// Interval at which a stream without a running engine asks for a retry.
constexpr absl::Duration kBudgetPollInterval = absl::Milliseconds(100);

}  // namespace

bool StreamLifecycle::TakeSendBudget() {
  if (counted_sends_ <= retries_taken_) return true;
  if (!port_.TakeRepeat()) return false;
  ++retries_taken_;
  return true;
}

void StreamLifecycle::UncountSend() {
  --counted_sends_;
  // The next send takes its own retry, in the window in which it arrives.
  if (retries_taken_ < std::max<uint32_t>(1, counted_sends_)) return;
  port_.ReturnRepeat();
  --retries_taken_;
}

absl::Time StreamLifecycle::ClientDeadline() const {
  return (is_streaming_ ? last_event_ : terms_.arrived) + port_.EventTimeout();
}

void StreamLifecycle::OnNoBudget(absl::Time now) {
  Release(step_);
  phase_ = Phase::kWaiting;
  bool may_have_run = is_streaming_ || runs_ > 0;
  if (may_have_run && now + kBudgetPollInterval < ClientDeadline()) {
    ask_at_ = now + kBudgetPollInterval;
    ArmTimer(now);
    return;
  }
  DropHandle();
  End(ReasonText(StreamRefusalReason::kNoRetryBudget), kRetryAfterRefusal);
}

void StreamLifecycle::OnWaitingTimer(absl::Time now) {
  if (now < ask_at_) {
    ArmTimer(now);
  } else if (awaits_version_) {
    GiveUpVersion();
  } else if (port_.HasRepeats(1)) {
    Submit(now);
  } else {
    OnNoBudget(now);
  }
}

}  // namespace chervilwick
