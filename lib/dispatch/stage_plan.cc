// Chooses the split of a service's engines between prefill and decode.

#include "chervilwick/dispatch/stage_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace chervilwick {
namespace {

// Utilization of the prefill engines that is planned for when the decode
// engines are full; the remainder absorbs bursts of arrivals.
constexpr double kPrefillUtilization = 0.85;
// The split of services with fewer engines is not changed.
constexpr size_t kMinEngines = 4;

}  // namespace

std::optional<StageChange> PlanStage(const BackendTable& backends,
                                     const ServiceName& service,
                                     const StageDemand& demand) {
  std::vector<const BackendState*> prefill;
  size_t total = 0;
  std::map<ZoneName, size_t> by_zone;
  for (const auto& it : backends.all()) {
    const BackendRecord& record = it.second.record;
    if (record.service != service || it.second.IsLeaving()) continue;
    if (record.stage == EngineStage::kNone) continue;
    ++total;
    if (record.stage != EngineStage::kPrefill) continue;
    prefill.push_back(&it.second);
    ++by_zone[record.zone];
  }
  if (total < kMinEngines || prefill.empty()) return std::nullopt;
  double prompt =
      absl::ToDoubleSeconds(demand.prompt_time) / kPrefillUtilization;
  double decode = absl::ToDoubleSeconds(demand.decode_time);
  double share = prompt / (prompt + decode);
  auto wanted = static_cast<size_t>(
      std::max(1.0, std::ceil(share * static_cast<double>(total))));
  if (prefill.size() <= wanted) return std::nullopt;
  // Takes it from the zone with the most prefill engines, so that each zone
  // keeps some.
  const BackendState* best = nullptr;
  for (const BackendState* it : prefill) {
    bool better = best == nullptr ||
                  by_zone[it->record.zone] > by_zone[best->record.zone];
    if (better) best = it;
  }
  return StageChange{best->record.id, EngineStage::kDecode};
}

}  // namespace chervilwick
