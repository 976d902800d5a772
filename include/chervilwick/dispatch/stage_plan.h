// Which engines should read prompts and which should generate.

#ifndef CHERVILWICK_DISPATCH_STAGE_PLAN_H_
#define CHERVILWICK_DISPATCH_STAGE_PLAN_H_

#include <optional>

#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_table.h"

namespace chervilwick {

// What one stream takes of the two kinds of engine.
struct StageDemand {
  // Of an engine that reads prompts.
  absl::Duration prompt_time = absl::Milliseconds(97);
  // Of a whole generating engine: its duration times its share of the memory.
  absl::Duration decode_time = absl::Milliseconds(330);
};

struct StageChange {
  BackendName backend;
  EngineStage stage = EngineStage::kDecode;
};

// The next engine of a service to change, if the split is off by one engine or
// more. Answers crests, at which generating engines are full while engines that
// read prompts idle: memory for running streams binds first. Prompts beyond
// what the smaller group reads are read by generating engines.
std::optional<StageChange> PlanStage(const BackendTable& backends,
                                     const ServiceName& service,
                                     const StageDemand& demand);

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_STAGE_PLAN_H_
