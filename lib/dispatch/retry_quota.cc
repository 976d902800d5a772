// Share of one front in the fleet's budget of repeated sends.

#include "chervilwick/dispatch/retry_quota.h"

#include <algorithm>

namespace chervilwick {
namespace {

// Part of the bound that is used: members may be counted late.
constexpr double kUsedShare = 0.8;
// Longest list of times that is kept for one service.
constexpr size_t kMaxTimes = 20000;

void DropBefore(std::deque<absl::Time>& times, absl::Time limit) {
  while (!times.empty() && (times.front() < limit || times.size() > kMaxTimes)) {
    times.pop_front();
  }
}

}  // namespace

void RetryQuota::Prune(Counts& counts, absl::Time now) const {
  DropBefore(counts.requests, now - bounds_.window);
  DropBefore(counts.repeats, now - bounds_.window);
}

void RetryQuota::OnRequest(const ServiceName& service, absl::Time now) {
  Counts& counts = counts_[service];
  counts.requests.push_back(now);
  Prune(counts, now);
}

double RetryQuota::Left(const ServiceName& service, absl::Time now) {
  Counts& counts = counts_[service];
  Prune(counts, now);
  double allowed =
      bounds_.ratio * static_cast<double>(counts.requests.size()) +
      bounds_.slack / std::max<uint32_t>(1, fronts_);
  return allowed * kUsedShare - static_cast<double>(counts.repeats.size());
}

bool RetryQuota::TryTake(const ServiceName& service, absl::Time now) {
  if (Left(service, now) < 1) return false;
  counts_[service].repeats.push_back(now);
  return true;
}

}  // namespace chervilwick
