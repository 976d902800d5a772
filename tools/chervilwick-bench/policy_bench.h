// Measures routing policies: the cores of entries and agents under virtual
// time, with fake engines at the sizes of the users' deployments.

#ifndef CHERVILWICK_TOOLS_BENCH_POLICY_BENCH_H_
#define CHERVILWICK_TOOLS_BENCH_POLICY_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace chervilwick {

struct PolicyBenchOptions {
  std::string deployment = "inkingi";  // or veilig-ry
  std::string scenario = "steady";     // crest, straggler, mixed-faults
  std::string policy = "chervilwick";
  uint64_t seed = 1;
  absl::Duration duration = absl::Seconds(60);
  // Runs the straggler scenario's load without stragglers.
  bool without_stragglers = false;
};

// Percentiles of a sample.
struct Quantiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

// Result of one run. Times in milliseconds.
struct PolicyBenchResult {
  uint64_t offered = 0;
  uint64_t good = 0;  // whole, both targets met
  uint64_t whole = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t lost = 0;  // no answer at all
  uint64_t door_offered = 0;
  uint64_t door_refused = 0;  // while a report was being served
  double allowed = 0;         // what capacity allows to be good
  double wasted_prefill = 0;  // share of prefills
  double fairness = 0;        // Jain's index over clients' good shares
  uint64_t preempted = 0;
  uint64_t hedges = 0;
  uint64_t retries = 0;
  Quantiles first_token;
  Quantiles door_first_token;
  Quantiles per_token;
};

bool IsKnownScenario(const PolicyBenchOptions& options);
PolicyBenchResult RunPolicyBench(const PolicyBenchOptions& options);
std::string ToJson(const PolicyBenchOptions& options,
                   const PolicyBenchResult& result);

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_BENCH_POLICY_BENCH_H_
