// Counters of a front.

#ifndef CHERVILWICK_FRONT_FRONT_STATS_H_
#define CHERVILWICK_FRONT_FRONT_STATS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "absl/time/time.h"

namespace chervilwick {

// Histogram of durations. The upper bounds of the buckets double, starting at
// one millisecond; the last bucket has none.
struct LatencyHistogram {
  static constexpr size_t kBuckets = 16;

  std::array<uint64_t, kBuckets + 1> counts{};
  uint64_t total = 0;
  double sum_seconds = 0;

  void Add(absl::Duration taken);
  // Returns the upper bound of a bucket in seconds.
  static double UpperBound(size_t bucket);
};

// Requests of one client account.
struct AccountStats {
  uint64_t admitted = 0;
  uint64_t waits = 0;      // for the peers to know what the account used
  uint64_t units_run = 0;  // taken from the cap by requests that have run
  uint64_t returned = 0;   // requests that gave back what they took
  std::map<std::string, uint64_t> refusals;  // by reason

  void CountDone(bool has_run, int64_t cost) {
    if (has_run) {
      units_run += static_cast<uint64_t>(cost);
    } else {
      ++returned;
    }
  }
};

struct FrontStats {
  // Accounts that have counters of their own; the rest share one entry.
  static constexpr size_t kMaxAccounts = 200;
  static constexpr char kOtherAccounts[] = "other";

  // Finished requests, by route and outcome.
  std::map<std::pair<std::string, std::string>, uint64_t> outcomes;
  // Refused requests, by route and reason.
  std::map<std::pair<std::string, std::string>, uint64_t> refusals;
  // Errors at backend servers, by server and log event.
  std::map<std::pair<std::string, std::string>, uint64_t> backend_errors;
  // Runs whose complete response was not received, by how this was detected.
  std::map<std::string, uint64_t> lost_runs;
  std::map<std::string, LatencyHistogram> answer_time;  // by route
  std::map<std::string, LatencyHistogram> first_event;  // by route
  std::map<std::string, LatencyHistogram> queue_time;   // by route
  LatencyHistogram prompt_time;
  uint64_t repeated_sends = 0;
  uint64_t quota_refusals = 0;
  uint64_t resumed_streams = 0;
  uint64_t reservations = 0;          // of places at decode engines
  uint64_t reservations_dropped = 0;  // not used
  uint64_t mismatched_answers = 0;
  uint64_t unframed_answers = 0;  // that end with their connection
  uint64_t answers_given_up = 0;  // for want of memory
  uint64_t quarantined = 0;
  uint64_t malformed_items = 0;
  uint64_t outdated_items = 0;  // older than what is known of their key
  uint64_t stalls = 0;          // times that the process did not run
  std::map<std::string, uint64_t> store_calls;  // by outcome
  std::map<std::string, uint64_t> origins;      // of streams, by what was done
  // Questions to servers about their starts, by outcome.
  std::map<std::string, uint64_t> start_queries;
  uint64_t restarts_found = 0;  // of servers, before discovery told
  uint64_t peer_datagrams_in = 0;
  uint64_t peer_datagrams_bad = 0;
  uint64_t peer_datagrams_out = 0;

  std::map<std::string, AccountStats> accounts;

  AccountStats& OfAccount(const std::string& name);
  void CountOutcome(const std::string& route, const std::string& outcome) {
    ++outcomes[{route, outcome}];
  }
  // Removes the counters of a server that is gone, so that they don't
  // accumulate over the lifetime of a front.
  void ForgetBackend(const std::string& backend);
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_FRONT_STATS_H_
