// One front's share of the fleet-wide retry budget.

#include "chervilwick/dispatch/retry_quota.h"

#include <algorithm>

namespace chervilwick {
namespace {

// Fraction of the limit that is used, since a change in the number of fronts
// may be noticed late.
constexpr double kLimitUseShare = 0.8;
// Fraction of the slack that is available in the first window after a start: a
// previous process of this front may have used the rest.
constexpr double kStartSlackShare = 0.5;
// Maximum number of timestamps kept in each list of a service.
constexpr size_t kMaxTimestamps = 20000;

void DropBefore(std::deque<absl::Time>& times, absl::Time limit) {
  while (!times.empty() &&
         (times.front() < limit || times.size() > kMaxTimestamps)) {
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

double RetryQuota::Slack(absl::Time now) {
  if (!started_) started_ = now;
  double slack = bounds_.slack / std::max<uint32_t>(1, fronts_);
  return now - *started_ < bounds_.window ? slack * kStartSlackShare : slack;
}

double RetryQuota::RetriesLeft(const ServiceName& service, absl::Time now) {
  Counts& counts = counts_[service];
  Prune(counts, now);
  double allowed =
      bounds_.ratio * static_cast<double>(counts.requests.size()) + Slack(now);
  return allowed * kLimitUseShare - static_cast<double>(counts.repeats.size());
}

bool RetryQuota::TryTake(const ServiceName& service, absl::Time now) {
  if (RetriesLeft(service, now) < 1) return false;
  counts_[service].repeats.push_back(now);
  return true;
}

void RetryQuota::Return(const ServiceName& service, absl::Time taken) {
  std::deque<absl::Time>& repeats = counts_[service].repeats;
  auto it = std::lower_bound(repeats.begin(), repeats.end(), taken);
  if (it != repeats.end() && *it == taken) repeats.erase(it);
}

}  // namespace chervilwick
