// Share of one front in the fleet's budget of repeated sends.

#ifndef CHERVILWICK_DISPATCH_RETRY_QUOTA_H_
#define CHERVILWICK_DISPATCH_RETRY_QUOTA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "absl/time/time.h"
#include "chervilwick/dispatch/route_table.h"

namespace chervilwick {

// Bounds of the deployment: in any window, sends beyond the first of each
// request stay under `ratio` times the requests plus `slack`, fleet-wide.
struct RetryBounds {
  double ratio = 0.2;
  double slack = 50;
  absl::Duration window = absl::Seconds(10);
};

// Counts one service's requests and repeated sends in a sliding window. Each
// front keeps to its own requests' share and an equal part of the slack, so
// that the sum keeps the bound without any message between fronts.
class RetryQuota {
 public:
  explicit RetryQuota(const RetryBounds& bounds) : bounds_(bounds) {}

  void SetBounds(const RetryBounds& bounds) { bounds_ = bounds; }
  // Fronts that share the slack, this one included.
  void SetFronts(uint32_t fronts) { fronts_ = fronts; }
  void OnRequest(const ServiceName& service, absl::Time now);
  // Takes one repeated send, if the bound allows it.
  bool TryTake(const ServiceName& service, absl::Time now);
  // Repeated sends that the bound allows now.
  double Left(const ServiceName& service, absl::Time now);

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
