// Emulated days side by side: policies, seeds, tables and plots.

#ifndef CHERVILWICK_TOOLS_BENCH_DAY_BENCH_H_
#define CHERVILWICK_TOOLS_BENCH_DAY_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

namespace chervilwick {

struct DayBenchOptions {
  std::vector<std::string> days;      // names of emulator/day.h
  std::vector<std::string> policies;  // "dispatch" or a baseline
  // Changes of the scheduler's options, "name=value".
  std::vector<std::string> changes;
  uint64_t first_seed = 1;
  uint64_t seeds = 10;
  std::string plot;  // SVG file of the first seed; none if empty
  uint32_t threads = 1;
};

// Prints a table. Returns false, with a message on standard error, if an option
// is unknown, and if a day broke an invariant.
bool RunDayBench(const DayBenchOptions& options);

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_BENCH_DAY_BENCH_H_
