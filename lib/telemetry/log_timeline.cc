// What decision logs tell of a stretch of time.

#include "chervilwick/telemetry/log_timeline.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <utility>

#include "absl/algorithm/container.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/string_view.h"
#include "chervilwick/telemetry/log_line.h"

namespace chervilwick {
namespace {

constexpr char kTimeFormat[] = "%H:%M:%E3S";
// Columns of a table; a longer stretch of time gets longer steps.
constexpr int64_t kMaxSteps = 400;

struct TimedLine {
  absl::Time at;
  LogLine line;
};

// Events that change what a process depends on or believes of itself.
constexpr std::array<absl::string_view, 14> kChanges = {
    "start",           "stopping",           "stop",
    "reload",          "reload_failed",      "store_lost",
    "store_regained",  "store_history_gone", "peer_lost",
    "stage_duty",      "stage_order",        "readiness",
    "process_stalled", "log_lines_dropped"};
// Events of one backend server that are told apart by it: trouble at one looks
// unlike trouble at all.
constexpr std::array<absl::string_view, 9> kTroubles = {
    "broke_off",      "decode_broke_off", "decode_silent",
    "decode_refused", "prefill_failed",   "prompt_silent",
    "not_run",        "not_sent",         "unproven_answer"};

std::string RowName(const LogLine& line) {
  if (line.event == "request_done") {
    std::string outcome = line.Text("outcome");
    if (outcome == "answered") return "request_done answered";
    return absl::StrCat("request_done ", outcome, " ", line.Text("reason"));
  }
  if (line.event == "request_rejected") {
    return absl::StrCat("request_rejected ", line.Text("reason"));
  }
  if (line.event == "run_lost") {
    return absl::StrCat("run_lost ", line.Text("sign"));
  }
  if (line.event == "replacement_refused" ||
      line.event == "replacement_withdrawn") {
    return absl::StrCat(line.event, " ", line.Text("detail"));
  }
  if (line.event == "backend") {
    return absl::StrCat("backend ", line.Text("change"));
  }
  if (absl::c_linear_search(kTroubles, line.event)) {
    return absl::StrCat(line.event, " ", line.Text("backend"));
  }
  return line.event;
}

// The time of day at which each process's clock began. It is another one from
// each `start` on: the host may have started anew.
class Clocks {
 public:
  // One run of a process.
  using Run = std::pair<std::string, uint64_t>;

  Run Note(const LogLine& line) {
    if (line.event == "start") ++runs_[line.process];
    Run run{line.process, runs_[line.process]};
    absl::Time wall;
    std::string error;
    if (line.event == "clock" &&
        absl::ParseTime(absl::RFC3339_full, line.Text("wall"), &wall, &error)) {
      zeros_[run] = wall - absl::Seconds(line.seconds);
      first_zeros_.emplace(run, zeros_[run]);
    }
    return run;
  }

  // By the last `clock` line so far.
  std::optional<absl::Time> At(const Run& run, const LogLine& line) const {
    return Shift(zeros_, run, line);
  }
  // By the first `clock` line of all.
  std::optional<absl::Time> AtByFirst(const Run& run,
                                      const LogLine& line) const {
    return Shift(first_zeros_, run, line);
  }

 private:
  static std::optional<absl::Time> Shift(const std::map<Run, absl::Time>& zeros,
                                         const Run& run, const LogLine& line) {
    auto it = zeros.find(run);
    if (it == zeros.end()) return std::nullopt;
    return it->second + absl::Seconds(line.seconds);
  }

  std::map<std::string, uint64_t> runs_;
  std::map<Run, absl::Time> zeros_;
  std::map<Run, absl::Time> first_zeros_;
};

std::vector<TimedLine> ReadLines(std::istream& logs, uint64_t& without_time) {
  Clocks clocks;
  std::vector<TimedLine> lines;
  // Lines before the first clock line of their run.
  std::vector<std::pair<Clocks::Run, LogLine>> early;
  std::string text;
  while (std::getline(logs, text)) {
    std::optional<LogLine> line = ParseLogLine(text);
    if (!line) continue;
    Clocks::Run run = clocks.Note(*line);
    if (line->event == "clock") continue;
    std::optional<absl::Time> at = clocks.At(run, *line);
    if (at) {
      lines.push_back({*at, *std::move(line)});
    } else {
      early.emplace_back(std::move(run), *std::move(line));
    }
  }
  for (auto& it : early) {
    std::optional<absl::Time> at = clocks.AtByFirst(it.first, it.second);
    if (at) {
      lines.push_back({*at, std::move(it.second)});
    } else {
      ++without_time;
    }
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const TimedLine& a, const TimedLine& b) { return a.at < b.at; });
  return lines;
}

}  // namespace

std::optional<Timeline> ReadTimeline(std::istream& logs, absl::Duration step) {
  Timeline out;
  out.step = step;
  std::vector<TimedLine> lines = ReadLines(logs, out.lines_without_time);
  if (lines.empty()) return std::nullopt;
  out.begin = lines.front().at;
  while ((lines.back().at - out.begin) / out.step >= kMaxSteps) out.step *= 2;
  auto step_of = [&out](absl::Time at) {
    return static_cast<size_t>((at - out.begin) / out.step);
  };
  size_t steps = step_of(lines.back().at) + 1;
  std::map<std::string, std::vector<uint64_t>> rows;
  for (const TimedLine& it : lines) {
    if (absl::c_linear_search(kChanges, it.line.event)) {
      out.changes.push_back(
          {it.at, it.line.process,
           absl::StrCat(it.line.event, " ", it.line.FieldsText())});
    }
    std::vector<uint64_t>& counts = rows[RowName(it.line)];
    counts.resize(steps);
    ++counts[step_of(it.at)];
  }
  for (auto& it : rows) out.rows.push_back({it.first, std::move(it.second)});
  return out;
}

std::string FormatTimeline(const Timeline& timeline) {
  auto clock = [](absl::Time at) {
    return absl::FormatTime(kTimeFormat, at, absl::UTCTimeZone());
  };
  size_t width = 0;
  for (const TimelineRow& it : timeline.rows) {
    width = std::max(width, it.what.size());
  }
  std::string out = absl::StrFormat("%-*s  from %s UTC, by %s\n", width, "",
                                    clock(timeline.begin),
                                    absl::FormatDuration(timeline.step));
  for (const TimelineRow& it : timeline.rows) {
    absl::StrAppendFormat(&out, "%-*s", width, it.what);
    for (uint64_t n : it.counts) {
      absl::StrAppendFormat(&out, " %4s", n == 0 ? "." : absl::StrCat(n));
    }
    out += "\n";
  }
  for (const TimelineChange& it : timeline.changes) {
    absl::StrAppend(&out, clock(it.at), " ", it.process, " ", it.text, "\n");
  }
  if (timeline.lines_without_time > 0) {
    absl::StrAppend(&out, timeline.lines_without_time,
                    " lines of processes without a clock line left out\n");
  }
  return out;
}

nlohmann::json TimelineJson(const Timeline& timeline) {
  nlohmann::json out = {
      {"begin", absl::FormatTime(absl::RFC3339_full, timeline.begin,
                                 absl::UTCTimeZone())},
      {"step_ms", absl::ToInt64Milliseconds(timeline.step)},
      {"rows", nlohmann::json::object()},
      {"changes", nlohmann::json::array()},
      {"lines_without_time", timeline.lines_without_time}};
  for (const TimelineRow& it : timeline.rows) out["rows"][it.what] = it.counts;
  for (const TimelineChange& it : timeline.changes) {
    out["changes"].push_back({{"at", absl::FormatTime(absl::RFC3339_full, it.at,
                                                      absl::UTCTimeZone())},
                              {"process", it.process},
                              {"text", it.text}});
  }
  return out;
}

}  // namespace chervilwick
