// Recognizes requests that their clients have tried before.

#include "chervilwick/dispatch/client_deadlines.h"

#include <algorithm>

namespace chervilwick {
namespace {

// A longest deadline that was not seen again for this long is forgotten: the
// clients may have changed.
constexpr absl::Duration kMemory = absl::Minutes(1);
// Clients measure the rest of their deadline before they connect.
constexpr absl::Duration kNoise = absl::Milliseconds(150);
constexpr size_t kMaxRoutes = 10000;

}  // namespace

absl::Duration ClientDeadlines::SpentBefore(
    const Route& route, std::optional<absl::Duration> deadline,
    absl::Time now) {
  if (!deadline) return absl::ZeroDuration();
  // Longer waits than the route allows are cut off anyway.
  absl::Duration left = std::min(*deadline, route.timeout);
  if (routes_.size() >= kMaxRoutes) routes_.clear();
  auto [it, is_new] = routes_.try_emplace(route.name, Longest{left, now});
  Longest& longest = it->second;
  bool is_outdated = now - longest.seen > kMemory;
  if (is_outdated || left + kNoise >= longest.deadline) {
    if (is_outdated || left > longest.deadline) longest.deadline = left;
    longest.seen = now;
    return absl::ZeroDuration();
  }
  return longest.deadline - left;
}

}  // namespace chervilwick
