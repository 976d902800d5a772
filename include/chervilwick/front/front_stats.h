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

// Counts durations by upper bounds that double from a millisecond.
struct LatencyCounts {
  static constexpr size_t kBuckets = 16;

  std::array<uint64_t, kBuckets + 1> counts{};
  uint64_t total = 0;
  double sum_seconds = 0;

  void Add(absl::Duration taken);
  // Upper bound in seconds of a bucket.
  static double Bound(size_t bucket);
};

struct FrontStats {
  // Answers to clients, by route and what became of the request.
  std::map<std::pair<std::string, std::string>, uint64_t> outcomes;
  // Refusals, by route and reason.
  std::map<std::pair<std::string, std::string>, uint64_t> refusals;
  // What went wrong at backend servers, by server and event of the log.
  std::map<std::pair<std::string, std::string>, uint64_t> backend_trouble;
  // Runs that ended without the server's whole answer, by sign.
  std::map<std::string, uint64_t> lost_runs;
  std::map<std::string, LatencyCounts> answer_time;  // by route
  std::map<std::string, LatencyCounts> first_event;  // by route
  std::map<std::string, LatencyCounts> queue_time;   // by route
  LatencyCounts prompt_time;
  uint64_t repeated_sends = 0;
  uint64_t quota_refusals = 0;
  uint64_t resumed_streams = 0;
  uint64_t foreign_answers = 0;
  uint64_t quarantined = 0;
  uint64_t malformed_items = 0;
  std::map<std::string, uint64_t> store_calls;  // by outcome
  uint64_t peer_datagrams_in = 0;
  uint64_t peer_datagrams_bad = 0;
  uint64_t peer_datagrams_out = 0;

  void CountOutcome(const std::string& route, const std::string& outcome) {
    ++outcomes[{route, outcome}];
  }
  // Servers come and go for as long as a front runs.
  void ForgetBackend(const std::string& backend);
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_FRONT_STATS_H_
