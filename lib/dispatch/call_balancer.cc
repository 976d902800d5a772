// Choice of the backend server for a plain call.

#include "chervilwick/dispatch/call_balancer.h"

#include <limits>

namespace chervilwick {
namespace {

// Load, as a share of the places, that a call's way to another zone is worth.
constexpr double kOtherZoneLoad = 0.25;
// Load that being full a moment ago adds.
constexpr double kFullLoad = 2.0;
// Load that a failure rate of one is worth.
constexpr double kFailureLoad = 3.0;
constexpr double kUsualPercent = 100.0;

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
    double load = ahead / it->record.slots * it->time_percent / kUsualPercent;
    if (it->record.zone != zone) load += kOtherZoneLoad;
    if (it->full_until > now) load += kFullLoad;
    load += it->FailureRate(now) * kFailureLoad;
    if (load >= least) continue;
    least = load;
    best = it;
  }
  return best;
}

}  // namespace chervilwick
