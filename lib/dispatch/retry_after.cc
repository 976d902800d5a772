// When callers that were refused may come back.

#include "chervilwick/dispatch/retry_after.h"

namespace chervilwick {
namespace {

// Retries are spread over this part of the time that they are told to wait.
constexpr double kRetrySpread = 0.5;
constexpr uint64_t kSpreadSteps = 16;

}  // namespace

absl::Duration SpreadRetryAfter(absl::Duration base, uint64_t draw) {
  double spread = static_cast<double>(draw % kSpreadSteps) /
                  static_cast<double>(kSpreadSteps);
  return base * (1 + kRetrySpread * spread);
}

}  // namespace chervilwick
