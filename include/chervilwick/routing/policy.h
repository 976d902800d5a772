// Routing policies: the choice of a backend server for a request. The baselines
// exist for comparison in measurements.

#ifndef CHERVILWICK_ROUTING_POLICY_H_
#define CHERVILWICK_ROUTING_POLICY_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/membership/backend_directory.h"
#include "chervilwick/routing/prefix_index.h"

namespace chervilwick {

// Inputs of a routing decision.
struct RoutingRequest {
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;
  uint32_t pieces = 1;
  Priority priority = Priority::kNormal;
  bool may_preempt = false;  // may evict batch work from a decode slot
  ZoneName zone;             // zone of the entry
  const PrefixHashes* prefixes = nullptr;
  const PrefixIndex* index = nullptr;
  absl::Duration max_wait;  // for a decode slot
  absl::Time now;
};

// The chosen backend server and the predicted time until it can start the work
// (decode) or complete it (prefill).
struct RoutingChoice {
  Backend* backend = nullptr;
  absl::Duration ready_in;
};

// Predicts times from the reported load, this entry's unreported dispatches and
// expected prefix cache hits.
struct PredictivePolicy {};
// Round robin over the candidates.
struct RoundRobinPolicy {
  uint64_t next = 0;
};
// Least loaded by the latest load report.
struct LeastReportedPolicy {};
// Power of two choices: the less loaded, by the latest load report, of two
// random candidates.
struct TwoChoicesPolicy {};

using RoutingPolicy = std::variant<PredictivePolicy, RoundRobinPolicy,
                                   LeastReportedPolicy, TwoChoicesPolicy>;

// Returns the policy with that name, if any: chervilwick, round-robin,
// least-reported or two-choices.
std::optional<RoutingPolicy> PolicyByName(std::string_view name);
// Whether the policy is the predictive one, which also enables early
// refusal by deadline, hedging and ejection of slow backend servers. The
// baselines have none of these.
bool IsPredictive(const RoutingPolicy& policy);

std::optional<RoutingChoice> ChooseDecode(
    RoutingPolicy& policy, const std::vector<Backend*>& candidates,
    const RoutingRequest& request, std::mt19937_64& random);
std::optional<RoutingChoice> ChoosePrefill(
    RoutingPolicy& policy, const std::vector<Backend*>& candidates,
    const RoutingRequest& request, std::mt19937_64& random);
std::optional<RoutingChoice> ChoosePlain(
    RoutingPolicy& policy, const std::vector<Backend*>& candidates,
    const RoutingRequest& request, std::mt19937_64& random);

// Estimated duration of a prefill of `tokens` tokens at the speed that the
// backend server reports.
absl::Duration PrefillTime(const Backend& backend, double tokens);

}  // namespace chervilwick

#endif  // CHERVILWICK_ROUTING_POLICY_H_
