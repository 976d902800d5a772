// Load balancing of plain calls.

#include "chervilwick/dispatch/call_balancer.h"

#include <limits>

namespace chervilwick {
namespace {

// Penalty for a server in another zone, as a share of its slots.
constexpr double kOtherZonePenalty = 0.25;
// Penalty for a server that was recently full.
constexpr double kFullPenalty = 2.0;
// Penalty for a failure rate of 1.
constexpr double kFailurePenalty = 3.0;
constexpr double kNormalTimePercent = 100.0;

}  // namespace

BackendState* ChooseForCall(BackendTable& backends, const ServiceName& service,
                            const ZoneName& zone,
                            const std::set<BackendName>& excluded,
                            absl::Time now) {
  BackendState* best = nullptr;
  double least = std::numeric_limits<double>::infinity();
  auto any = [](const BackendState& /*backend*/) { return true; };
  for (BackendState* it : backends.Candidates(service, any, excluded, now)) {
    double ahead = static_cast<double>(it->Total().requests + 1);
    double load =
        ahead / it->record.slots * it->time_percent / kNormalTimePercent;
    if (it->record.zone != zone) load += kOtherZonePenalty;
    if (it->full_until > now) load += kFullPenalty;
    load += it->FailureRate(now) * kFailurePenalty;
    if (load >= least) continue;
    least = load;
    best = it;
  }
  return best;
}

}  // namespace chervilwick
