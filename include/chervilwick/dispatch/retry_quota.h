// One front's share of the fleet-wide retry budget.

#ifndef CHERVILWICK_DISPATCH_RETRY_QUOTA_H_
#define CHERVILWICK_DISPATCH_RETRY_QUOTA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "absl/time/time.h"
#include "chervilwick/dispatch/route_table.h"

namespace chervilwick {

// Fleet-wide retry limit: in any window, sends beyond the first of each request
// stay under `ratio` times the number of requests plus `slack`.
struct RetryBounds {
  double ratio = 0.2;
  double slack = 50;
  absl::Duration window = absl::Seconds(10);
};

// Counts requests and retries of each service in a sliding window. Each front
// is limited by the ratio of its own requests and an equal part of the slack,
// so the fleet-wide limit holds without messages between fronts.
class RetryQuota {
 public:
  explicit RetryQuota(const RetryBounds& bounds) : bounds_(bounds) {}

  void SetBounds(const RetryBounds& bounds) { bounds_ = bounds; }
  // Sets the number of fronts that share the slack, including this one.
  void SetFrontCount(uint32_t fronts) { fronts_ = fronts; }
  void OnRequest(const ServiceName& service, absl::Time now);
  // Takes one retry from the quota. Returns false if the limit is reached.
  bool TryTake(const ServiceName& service, absl::Time now);
  // Returns a retry that was taken at `taken` and not used.
  void Return(const ServiceName& service, absl::Time taken);
  // Returns the number of retries that are allowed now.
  double RetriesLeft(const ServiceName& service, absl::Time now);

 private:
  struct Counts {
    std::deque<absl::Time> requests;
    std::deque<absl::Time> repeats;
  };

  double Slack(absl::Time now);
  void Prune(Counts& counts, absl::Time now) const;

  RetryBounds bounds_;
  uint32_t fronts_ = 1;
  std::optional<absl::Time> started_;
  std::map<ServiceName, Counts> counts_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_RETRY_QUOTA_H_
