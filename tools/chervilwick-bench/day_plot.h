// Days as pictures.

#ifndef CHERVILWICK_TOOLS_BENCH_DAY_PLOT_H_
#define CHERVILWICK_TOOLS_BENCH_DAY_PLOT_H_

#include <string>
#include <vector>

#include "chervilwick/emulator/day.h"

namespace chervilwick {

struct PlottedDay {
  std::string title;
  DayReport report;
};

// SVG with one row a day: requests asked, answered on time and the ideal by
// second; streams that wait; memory in use.
std::string PlotDays(const std::vector<PlottedDay>& days);

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_BENCH_DAY_PLOT_H_
