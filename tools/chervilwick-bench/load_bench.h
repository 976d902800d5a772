// Load on a running entry, or straight on an engine, over HTTP: time to first
// token and between tokens as a client sees them.

#ifndef CHERVILWICK_TOOLS_BENCH_LOAD_BENCH_H_
#define CHERVILWICK_TOOLS_BENCH_LOAD_BENCH_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace chervilwick {

struct LoadBenchOptions {
  std::string target;          // ip:port, loopback
  std::string prefill_target;  // of an engine: prefill there, decode at target
  std::string model;
  uint32_t streams = 200;   // open at once
  uint32_t requests = 400;  // in all
  uint32_t tokens = 100;    // of each answer
  absl::Duration spread;    // over which the first requests are sent
};

// Runs the load and prints its figures. Returns the exit status: 1 when an
// answer was not whole.
int RunLoadBench(const LoadBenchOptions& options);

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_BENCH_LOAD_BENCH_H_
