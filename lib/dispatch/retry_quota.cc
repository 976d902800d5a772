// Share of one front in the fleet's budget of repeated sends.

#include "chervilwick/dispatch/retry_quota.h"

#include <algorithm>

namespace chervilwick {
namespace {

// Part of the bound that is used: members may be counted late.
constexpr double kUsedShare = 0.8;
// Part of the slack in the first window after a start: an earlier process of
// this front may have used the rest.
constexpr double kStartShare = 0.5;
// Longest list of times that is kept for one service.
constexpr size_t kMaxTimes = 20000;

void DropBefore(std::deque<absl::Time>& times, absl::Time limit) {
  while (!times.empty() &&
         (times.front() < limit || times.size() > kMaxTimes)) {
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
  return now - *started_ < bounds_.window ? slack * kStartShare : slack;
}

double RetryQuota::Left(const ServiceName& service, absl::Time now) {
  Counts& counts = counts_[service];
  Prune(counts, now);
  double allowed =
      bounds_.ratio * static_cast<double>(counts.requests.size()) + Slack(now);
  return allowed * kUsedShare - static_cast<double>(counts.repeats.size());
}

bool RetryQuota::TryTake(const ServiceName& service, absl::Time now) {
  if (Left(service, now) < 1) return false;
  counts_[service].repeats.push_back(now);
  return true;
}

}  // namespace chervilwick
