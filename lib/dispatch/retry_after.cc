// Retry delays for refused requests.

#include "chervilwick/dispatch/retry_after.h"

namespace chervilwick {
namespace {

// Upper limit of the jitter, as a fraction of the base delay.
constexpr double kMaxJitterShare = 0.5;
constexpr uint64_t kJitterSteps = 16;

}  // namespace

absl::Duration JitteredRetryAfter(absl::Duration base, uint64_t draw) {
  double spread = static_cast<double>(draw % kJitterSteps) /
                  static_cast<double>(kJitterSteps);
  return base * (1 + kMaxJitterShare * spread);
}

}  // namespace chervilwick
