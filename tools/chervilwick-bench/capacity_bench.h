// Measures slopes of the cores' costs: time and memory per stream, per backend
// server, per message and per configuration change.

#ifndef CHERVILWICK_TOOLS_BENCH_CAPACITY_BENCH_H_
#define CHERVILWICK_TOOLS_BENCH_CAPACITY_BENCH_H_

namespace chervilwick {

// Prints the measured points and the fitted slopes. Returns the exit status.
int RunCapacityBench();

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_BENCH_CAPACITY_BENCH_H_
