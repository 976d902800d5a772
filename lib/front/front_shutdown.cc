// Graceful shutdown of a front.

#include <vector>

#include "chervilwick/front/front_daemon.h"

namespace chervilwick {
namespace {

// The load balancer removes a host after two failed probes one second apart. It
// opens new connections until then.
constexpr absl::Duration kLoadBalancerDelay = absl::Milliseconds(2600);

}  // namespace

void FrontDaemon::BeginShutdown() {
  if (shutdown_) return;
  absl::Time now = loop_.Now();
  shutdown_ =
      ShutdownPlan(now, context_.settings.shutdown_limit, kLoadBalancerDelay);
  clients_.CloseAfterAnswers();
  context_.log.Write(now, "stopping",
                     {{"in_flight", static_cast<uint64_t>(relays_.size())}});
  ArmShutdownTimer();
}

void FrontDaemon::ArmShutdownTimer() {
  absl::Time now = loop_.Now();
  absl::Time end = shutdown_->end_requests_at();
  shutdown_timer_.Arm((now < end ? end : shutdown_->exit_at()) - now);
}

bool FrontDaemon::RefuseIfTooLate(const AdmittedRequest& admitted) {
  if (!shutdown_) return false;
  absl::Duration longest = admitted.route.timeout;
  if (admitted.facts.deadline) {
    longest = std::min(longest, *admitted.facts.deadline);
  }
  TimeNeeded needed = EstimateTimeNeeded(
      admitted.route,
      context_.durations.Expect(admitted.route.name, admitted.OutputTokens()),
      longest);
  if (shutdown_->HasTimeFor(needed, admitted.arrived)) return false;
  Reject(admitted.id, admitted.facts, 503, "stopping",
         shutdown_->RetryAfter(admitted.fingerprint, admitted.arrived));
  return true;
}

void FrontDaemon::RefuseLateStreams(absl::Time now) {
  std::vector<StreamRelay*> late;
  for (const auto& it : streams_) {
    if (!it.second->IsWaiting()) continue;
    if (!shutdown_->HasTimeFor(it.second->EstimateTimeNeeded(), now)) {
      late.push_back(it.second);
    }
  }
  for (StreamRelay* it : late) {
    it->OnTooLateToStart(
        shutdown_->RetryAfter(it->admitted().fingerprint, now));
  }
}

void FrontDaemon::EndOpenRequests() {
  std::vector<Relay*> open;
  for (const auto& it : relays_) {
    if (!it.second->IsEndPending()) open.push_back(it.second.get());
  }
  cut_requests_ += open.size();
  // Each ends itself and is destroyed by the loop.
  for (Relay* it : open) it->OnShutdownLimit();
}

void FrontDaemon::CheckShutdown() {
  absl::Time now = loop_.Now();
  RefuseLateStreams(now);
  if (now < shutdown_->listen_until()) return;
  clients_.StopListening();
  clients_.CloseIdle();
  if (now >= shutdown_->end_requests_at() && !relays_.empty()) {
    EndOpenRequests();
    // Their answers are sent by the next turns of the loop.
    if (now < shutdown_->exit_at()) return;
  }
  if (now >= shutdown_->exit_at()) {
    loop_.Stop();
    return;
  }
  if (relays_.empty() && clients_.open_connections() == 0) loop_.Stop();
}

}  // namespace chervilwick
