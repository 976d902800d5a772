// Decisions of a front that shuts down.

#include "chervilwick/dispatch/shutdown_plan.h"

#include <algorithm>
#include <vector>

namespace chervilwick {
namespace {

constexpr size_t kMaxSamples = 64;
constexpr size_t kMinSamples = 8;
// Part of the samples that the expected duration covers.
constexpr double kCoverage = 0.9;
// Part of the shutdown limit that is reserved for ending open requests, sending
// their answers and exiting.
constexpr double kMarginShare = 1.0 / 8;
constexpr absl::Duration kRetryElsewhere = absl::Milliseconds(50);
// Bounds the memory of refused requests.
constexpr size_t kMaxRefused = 4096;

absl::Duration ScaledDuration(const RequestDuration& taken,
                              uint32_t output_tokens) {
  if (taken.output_tokens == 0 || output_tokens == 0) {
    return taken.until_output + taken.output;
  }
  return taken.until_output +
         taken.output * (static_cast<double>(output_tokens) /
                         static_cast<double>(taken.output_tokens));
}

}  // namespace

void RouteDurations::Add(const std::string& route,
                         const RequestDuration& taken) {
  std::deque<RequestDuration>& samples = taken_[route];
  samples.push_back(taken);
  if (samples.size() > kMaxSamples) samples.pop_front();
}

void RouteDurations::KeepOnly(const RouteTable& table) {
  for (auto it = taken_.begin(); it != taken_.end();) {
    it = table.FindByName(it->first) == nullptr ? taken_.erase(it)
                                                : std::next(it);
  }
}

std::optional<absl::Duration> RouteDurations::Expect(
    const std::string& route, uint32_t output_tokens) const {
  auto it = taken_.find(route);
  if (it == taken_.end() || it->second.size() < kMinSamples) {
    return std::nullopt;
  }
  std::vector<absl::Duration> durations;
  for (const RequestDuration& taken : it->second) {
    durations.push_back(ScaledDuration(taken, output_tokens));
  }
  auto covered = durations.begin() +
                 static_cast<std::ptrdiff_t>(
                     kCoverage * static_cast<double>(durations.size() - 1));
  std::nth_element(durations.begin(), covered, durations.end());
  return *covered;
}

TimeNeeded EstimateTimeNeeded(const Route& route,
                              std::optional<absl::Duration> recent,
                              absl::Duration longest) {
  absl::Duration unknown =
      route.kind == RouteKind::kStream ? longest : route.objective;
  return {std::min(longest, recent.value_or(unknown)), longest};
}

ShutdownPlan::ShutdownPlan(absl::Time began, absl::Duration limit,
                           absl::Duration balancer_delay)
    : end_requests_at_(began + limit * (1 - kMarginShare)),
      exit_at_(began + limit * (1 - kMarginShare / 2)) {
  listen_until_ = std::min(began + balancer_delay, end_requests_at_);
}

bool ShutdownPlan::HasTimeFor(const TimeNeeded& needed, absl::Time now) const {
  absl::Duration time = now < listen_until_ ? needed.expected : needed.longest;
  return now < end_requests_at_ && now + time <= end_requests_at_;
}

absl::Duration ShutdownPlan::RetryAfter(Fingerprint fingerprint,
                                        absl::Time now) {
  bool is_first =
      refused_.size() < kMaxRefused && refused_.insert(fingerprint).second;
  if (is_first) return kRetryElsewhere;
  return std::max(kRetryElsewhere, listen_until_ - now);
}

}  // namespace chervilwick
