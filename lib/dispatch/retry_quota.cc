// One front's share of the fleet-wide retry budget.

#include "chervilwick/dispatch/retry_quota.h"

#include <algorithm>
#include <iterator>

namespace chervilwick {
namespace {

// Fractions of the ratio for the requests of the last window, which may count
// at two fronts, and for the fewest requests of a window before now. Twice the
// first and the second add up to one.
constexpr double kRecentShare = 0.2;
constexpr double kSteadyShare = 0.6;
// Fraction of a front's slack for a process that has run for a window, and for
// all its successors within a window.
constexpr double kSlackShare = 0.8;
constexpr double kStartSlackShare = 0.2;
// Maximum number of timestamps kept in each list of a service.
constexpr size_t kMaxTimestamps = 20000;

void DropBefore(std::deque<absl::Time>& times, absl::Time limit) {
  while (!times.empty() &&
         (times.front() < limit || times.size() > kMaxTimestamps)) {
    times.pop_front();
  }
}

// Returns the least number of `times` in any span of length `window` that ends
// between one window ago and now. `times` is sorted and not after `now`.
size_t FewestInWindow(const std::deque<absl::Time>& times,
                      absl::Duration window, absl::Time now) {
  auto first = std::lower_bound(times.begin(), times.end(), now - window);
  auto fewest = static_cast<size_t>(times.end() - first);
  // The span's end moves back past one of the times at each step.
  for (auto end = times.end(); end != times.begin();) {
    --end;
    if (*end < now - window) break;
    while (first != times.begin() && *std::prev(first) >= *end - window) {
      --first;
    }
    fewest = std::min(fewest, static_cast<size_t>(end - first));
  }
  return fewest;
}

}  // namespace

void RetryQuota::Prune(Counts& counts, absl::Time now) const {
  DropBefore(counts.requests, now - 2 * bounds_.window);
  DropBefore(counts.repeats, now - bounds_.window);
}

void RetryQuota::OnRequest(const ServiceName& service, absl::Time now) {
  Counts& counts = counts_[service];
  counts.requests.push_back(now);
  Prune(counts, now);
}

double RetryQuota::CreditedRequests(const Counts& counts,
                                    absl::Time now) const {
  const std::deque<absl::Time>& times = counts.requests;
  auto first =
      std::lower_bound(times.begin(), times.end(), now - bounds_.window);
  auto recent = static_cast<double>(times.end() - first);
  auto fewest = static_cast<double>(FewestInWindow(times, bounds_.window, now));
  return kRecentShare * recent + kSteadyShare * fewest;
}

double RetryQuota::Slack(absl::Time now) const {
  double slack = bounds_.slack / std::max<uint32_t>(1, fronts_);
  absl::Duration age = now - started_;
  if (age >= bounds_.window) return slack * kSlackShare;
  return slack * kStartSlackShare * absl::FDivDuration(age, bounds_.window);
}

double RetryQuota::RetriesLeft(const ServiceName& service, absl::Time now) {
  Counts& counts = counts_[service];
  Prune(counts, now);
  double allowed = bounds_.ratio * CreditedRequests(counts, now) + Slack(now);
  return allowed - static_cast<double>(counts.repeats.size());
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
