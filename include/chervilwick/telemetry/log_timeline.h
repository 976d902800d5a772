// What decision logs tell of a stretch of time.

#ifndef CHERVILWICK_TELEMETRY_LOG_TIMELINE_H_
#define CHERVILWICK_TELEMETRY_LOG_TIMELINE_H_

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace chervilwick {

// How often something was logged, by all processes together.
struct TimelineRow {
  std::string what;              // event and what tells its cases apart
  std::vector<uint64_t> counts;  // by step
};

// A line that changes what a process depends on or believes of itself.
struct TimelineChange {
  absl::Time at;
  std::string process;
  std::string text;
};

struct Timeline {
  absl::Time begin;
  absl::Duration step;
  std::vector<TimelineRow> rows;  // by name
  std::vector<TimelineChange> changes;
  // Of processes whose logs hold no `clock` line.
  uint64_t lines_without_time = 0;
};

// Counts the lines of decision logs of any number of processes by steps of
// time; a stretch of many steps gets longer ones. Each process's clock is set
// by its last `clock` line before a line, or by its first. Nothing if no line
// has a time.
std::optional<Timeline> ReadTimeline(std::istream& logs, absl::Duration step);
std::string FormatTimeline(const Timeline& timeline);
nlohmann::json TimelineJson(const Timeline& timeline);

}  // namespace chervilwick

#endif  // CHERVILWICK_TELEMETRY_LOG_TIMELINE_H_
