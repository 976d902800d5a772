// Decisions of a front that shuts down.

#ifndef CHERVILWICK_DISPATCH_SHUTDOWN_PLAN_H_
#define CHERVILWICK_DISPATCH_SHUTDOWN_PLAN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "chervilwick/dispatch/crash_suspects.h"
#include "chervilwick/dispatch/route_table.h"

namespace chervilwick {

// How long a completed request took.
struct RequestDuration {
  absl::Duration until_output;  // from the arrival to the head of the response
  absl::Duration output;        // from there to the end of the response
  uint32_t output_tokens = 0;   // as estimated on arrival; 0 if unknown
};

// Durations of the latest completed requests of each route.
class RouteDurations {
 public:
  void Add(const std::string& route, const RequestDuration& taken);
  void KeepOnly(const RouteTable& table);
  // Time within which most requests like this one have been completed; nullopt
  // if too few of the route are known.
  std::optional<absl::Duration> Expect(const std::string& route,
                                       uint32_t output_tokens) const;

 private:
  std::map<std::string, std::deque<RequestDuration>> taken_;
};

// Time that a request needs from now on.
struct TimeNeeded {
  absl::Duration expected;  // most requests like it take no longer
  absl::Duration longest;   // until its deadline or the route's timeout ends it
};

// `recent` is the time that recent requests of the route took.
TimeNeeded EstimateTimeNeeded(const Route& route,
                              std::optional<absl::Duration> recent,
                              absl::Duration longest);

// Times of one shutdown, which has to be complete `limit` after it began.
class ShutdownPlan {
 public:
  // The load balancer opens new connections for up to `balancer_delay`. It
  // leads every client that connects later to another front.
  ShutdownPlan(absl::Time began, absl::Duration limit,
               absl::Duration balancer_delay);

  // Until then, the listener stays open.
  absl::Time listen_until() const { return listen_until_; }
  // Requests that are open then are ended.
  absl::Time end_requests_at() const { return end_requests_at_; }
  // Output that has not been sent by then is given up.
  absl::Time exit_at() const { return exit_at_; }
  // Whether to start a request now. While a refused client may be led back
  // here, the request has to end in time as expected. Later another front
  // serves it, so that it is started only if it ends in time however long it
  // takes.
  bool HasTimeFor(const TimeNeeded& needed, absl::Time now) const;
  // Delay after which a refused client should retry. Other fronts take the
  // request at once; a client that was sent back to this one should wait until
  // the load balancer has removed it.
  absl::Duration RetryAfter(Fingerprint fingerprint, absl::Time now);

 private:
  absl::Time listen_until_;
  absl::Time end_requests_at_;
  absl::Time exit_at_;
  std::set<Fingerprint> refused_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_SHUTDOWN_PLAN_H_
