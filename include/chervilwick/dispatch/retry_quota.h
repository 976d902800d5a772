// One front's share of the fleet-wide retry budget.

#ifndef CHERVILWICK_DISPATCH_RETRY_QUOTA_H_
#define CHERVILWICK_DISPATCH_RETRY_QUOTA_H_

#include <cstdint>
#include <deque>
#include <map>

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
//
// Fronts take their last retries of a window at different times, so that
// windows which end there may count the same clients at two fronts, up to twice
// the requests of one window. Most of the ratio therefore applies to the
// fewest requests in any window that began within the last two: these are never
// more than those of one window that is the same for all fronts.
//
// A process that has run for a window has most of its front's slack. Its
// successors within that window share the rest in proportion to their ages,
// which add up to one window at most.
class RetryQuota {
 public:
  // `started`: when this process started.
  RetryQuota(const RetryBounds& bounds, absl::Time started)
      : bounds_(bounds), started_(started) {}

  // Sets when this process started.
  void SetStartTime(absl::Time started) { started_ = started; }
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
    std::deque<absl::Time> requests;  // of the last two windows
    std::deque<absl::Time> repeats;   // of the last window
  };

  // Requests for which retries are allowed now.
  double CreditedRequests(const Counts& counts, absl::Time now) const;
  double Slack(absl::Time now) const;
  void Prune(Counts& counts, absl::Time now) const;

  RetryBounds bounds_;
  uint32_t fronts_ = 1;
  absl::Time started_;
  std::map<ServiceName, Counts> counts_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_RETRY_QUOTA_H_
