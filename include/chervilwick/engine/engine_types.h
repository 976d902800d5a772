// Types exchanged between AgentCore and the engine client.

#ifndef CHERVILWICK_ENGINE_ENGINE_TYPES_H_
#define CHERVILWICK_ENGINE_ENGINE_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chervilwick/config/routing_setup.h"
#include "chervilwick/support/ids.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

// State reported by the engine.
struct EngineStatus {
  bool up = false;
  std::string weights;
  std::vector<std::string> adapters;
  PoolRole role = PoolRole::kPlain;

  friend bool operator==(const EngineStatus& a, const EngineStatus& b) {
    return a.up == b.up && a.weights == b.weights && a.adapters == b.adapters &&
           a.role == b.role;
  }
};

// Order to load weights and adapters and to take a role. `fence` is the number
// of the configuration version that requires it.
struct EngineOrder {
  std::string model;
  std::string weights;
  std::vector<std::string> adapters;
  PoolRole role = PoolRole::kPlain;
  uint64_t fence = 0;
};

struct EngineTokens {
  AttemptId attempt;
  std::vector<std::string> tokens;
};
// Outcome of a call to the engine. kEngineCrashed means that the call broke off
// and the engine no longer answers health checks.
struct EngineFinished {
  AttemptId attempt;
  WorkStatus status = WorkStatus::kOk;
  uint32_t prefix_hit_tokens = 0;
  std::string kv_params;
  std::string finish_reason;
  uint32_t http_status = 0;
  std::string content_type;
  std::string body;
};
}  // namespace chervilwick

#endif  // CHERVILWICK_ENGINE_ENGINE_TYPES_H_
