// The software version of the engine that generates a stream.
//
// The record of a server is of its last start that the front has heard of. A
// run is certainly of that start if the engine sent a part of it after the
// record was known, and after that still states the same start: the engine's
// starts follow each other, and an earlier one had ended by then.

#include <algorithm>

#include "chervilwick/dispatch/stream_lifecycle.h"

namespace chervilwick {
namespace {

// Interval between questions to an engine that does not answer them.
constexpr absl::Duration kAskInterval = absl::Milliseconds(500);
// How long a stream that broke off waits for its version: until an engine that
// has restarted has written its record.
constexpr absl::Duration kMaxVersionWait = absl::Seconds(2);
// Longer than what an engine has sent is on its way, one retransmission
// included: what comes later was sent after an answer that came before.
constexpr absl::Duration kMaxTransit = absl::Milliseconds(250);
constexpr absl::Duration kRetryAfterUncertain = absl::Milliseconds(500);

}  // namespace

void StreamLifecycle::OnAnswered(absl::Time now) {
  ReleasePrompt(*step_);
  handle_made_.reset();
  has_sent_since_ = true;
  // Servers whose records state no start are taken for what they state.
  if (run_start_ms_ == 0) is_start_certain_ = true;
  if (is_start_certain_) {
    LearnSoftware(now);
  } else {
    AskStart();
  }
}

void StreamLifecycle::AskStart() {
  bool is_due = NeedsVersion() && !is_start_certain_ && has_sent_since_;
  if (!is_due || is_start_asked_) return;
  is_start_asked_ = true;
  port_.AskStart(run_engine_);
}

void StreamLifecycle::OnStartStated(std::optional<int64_t> born_unix_ms,
                                    absl::Time now) {
  is_start_asked_ = false;
  if (born_unix_ms && *born_unix_ms == run_start_ms_) {
    is_start_certain_ = true;
    LearnSoftware(now);
    return;
  }
  start_ask_at_ = now + kAskInterval;
  if (born_unix_ms) {
    AssumeStart(*born_unix_ms, now);
    start_ask_at_ = now + kMaxTransit;
  }
  bool is_running = phase_ == Phase::kDecode;
  if (software_ && is_running) {
    OnUncertainRun(
        born_unix_ms ? "backend_restarted" : "software_version_unknown", now);
  } else if (awaits_version_) {
    GiveUpVersion();
  }
}

void StreamLifecycle::AssumeStart(int64_t born_unix_ms, absl::Time now) {
  if (services_.backends.ReportStart(run_engine_, born_unix_ms)) {
    services_.suspects.ReportServerEnd(run_engine_, now);
  }
  run_start_ms_ = born_unix_ms;
  has_sent_since_ = false;
}

void StreamLifecycle::LearnSoftware(absl::Time now) {
  if (software_) return;
  if (std::optional<ExpectedStart> start = expected_start()) {
    software_ = start->software;
  } else {
    const BackendState* engine = services_.backends.Find(run_engine_);
    bool is_recorded =
        engine != nullptr && engine->record.born_unix_ms == run_start_ms_;
    // OnRecordChanged() follows.
    if (!is_recorded) return;
    software_ = engine->record.software;
  }
  port_.OnSoftwareKnown();
  if (!awaits_version_) return;
  awaits_version_ = false;
  Resume(now);
}

void StreamLifecycle::OnRecordChanged(const BackendName& engine,
                                      absl::Time now) {
  if (!is_start_certain_ || run_engine_ != engine) return;
  LearnSoftware(now);
}

void StreamLifecycle::OnUncertainRun(absl::string_view reason, absl::Time now) {
  port_.CancelDecode(reason);
  Release(step_);
  excluded_.insert(run_engine_);
  if (MayResume()) {
    Resume(now);
  } else {
    End(reason, kRetryAfterUncertain);
  }
}

void StreamLifecycle::AwaitVersion(absl::Time now) {
  phase_ = Phase::kWaiting;
  awaits_version_ = true;
  ask_at_ = std::min(now + kMaxVersionWait, ClientDeadline());
  AskStart();
  if (!is_start_asked_ && !is_start_certain_) {
    GiveUpVersion();
    return;
  }
  ArmTimer(now);
}

void StreamLifecycle::GiveUpVersion() {
  awaits_version_ = false;
  End("software_version_unknown", kRetryAfterUncertain);
}

}  // namespace chervilwick
