// How a stream reserves a place before its prompt is read.

#include "chervilwick/dispatch/stream_lifecycle.h"

namespace chervilwick {
namespace {

// Time for an engine to answer: several times the way between zones, and less
// than it takes to read a prompt.
constexpr absl::Duration kReservationTimeout = absl::Milliseconds(120);

}  // namespace

void StreamLifecycle::StartReservation(absl::Time now) {
  if (RefuseIfQuarantined(now)) return;
  if (IsDecodeLost(*step_, now)) {
    Release(step_);
    Submit(now);
    return;
  }
  phase_ = Phase::kReserving;
  step_->holds_reservation = true;
  ask_at_ = now + kReservationTimeout;
  ArmTimer(now);
  port_.ReservePlace(step_->placement.decode, step_->placement.memory_tokens);
}

void StreamLifecycle::OnPlaceReserved(absl::Time now) {
  services_.backends.ReportAlive(decode_engine(), now);
  // The prefill engine may have left since it was chosen.
  const BackendState* prefill =
      services_.backends.Find(*step_->placement.prefill);
  bool is_lost = prefill == nullptr || prefill->IsLeaving() ||
                 prefill->pause_ends_at > now;
  if (is_lost) {
    Release(step_);
    Submit(now);
    return;
  }
  StartPrompt(now);
}

void StreamLifecycle::OnReservationFailed(ReservationFailure why,
                                          absl::Time now) {
  BackendName decode = decode_engine();
  step_->holds_reservation = false;
  switch (why) {
    case ReservationFailure::kRefused:
      services_.backends.ReportFull(decode, now);
      break;
    case ReservationFailure::kUnreachable:
      ReportUnreachable(decode, now);
      excluded_.insert(decode);
      break;
    case ReservationFailure::kBroken:
      services_.backends.ReportFailure(decode, now);
      excluded_.insert(decode);
      break;
  }
  Release(step_);
  Submit(now);
}

void StreamLifecycle::OnReservationTimer(absl::Time now) {
  if (now < ask_at_) {
    ArmTimer(now);
    return;
  }
  port_.DropReservation();
  OnReservationFailed(ReservationFailure::kBroken, now);
}

}  // namespace chervilwick
