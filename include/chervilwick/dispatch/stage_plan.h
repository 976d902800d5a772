// Chooses the split of a service's engines between prefill and decode.

#ifndef CHERVILWICK_DISPATCH_STAGE_PLAN_H_
#define CHERVILWICK_DISPATCH_STAGE_PLAN_H_

#include <optional>

#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_table.h"

namespace chervilwick {

// Engine time that one stream uses, by stage.
struct StageDemand {
  // On a prefill engine.
  absl::Duration prompt_time = absl::Milliseconds(97);
  // On a decode engine: the stream's duration times its share of the memory.
  absl::Duration decode_time = absl::Milliseconds(330);
};

struct StageChange {
  BackendName backend;
  EngineStage stage = EngineStage::kDecode;
};

// Returns the next prefill engine of a service to turn into a decode engine. A
// change is due if the service has at least one prefill engine more than the
// number computed from `demand`, which is rounded up and at least one. Returns
// nullopt otherwise, and for services with few engines. At peak load the memory
// of decode engines is exhausted first, while prefill engines idle.
// Prompts beyond the capacity of the remaining prefill engines are read by
// decode engines.
std::optional<StageChange> PlanStage(const BackendTable& backends,
                                     const ServiceName& service,
                                     const StageDemand& demand);

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_STAGE_PLAN_H_
