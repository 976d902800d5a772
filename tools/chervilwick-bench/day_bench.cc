// Emulated days side by side.

#include "day_bench.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <optional>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "chervilwick/emulator/day.h"
#include "day_plot.h"

namespace chervilwick {
namespace {

std::optional<FrontPolicy> ParsePolicy(const std::string& name) {
  if (name == "dispatch") return FrontPolicy::kDispatch;
  if (name == "round-robin") return FrontPolicy::kRoundRobin;
  if (name == "least-requests") return FrontPolicy::kLeastRequests;
  if (name == "two-choices") return FrontPolicy::kTwoChoices;
  return std::nullopt;
}

// Applies "name=value" to the scheduler's options or to the day.
bool ApplyChange(const std::string& change, DayOptions& day) {
  std::pair<std::string, std::string> parts =
      absl::StrSplit(change, absl::MaxSplits('=', 1));
  double value = 0;
  if (!absl::SimpleAtod(parts.second, &value)) return false;
  StreamSchedulerOptions& scheduler = day.front.scheduler;
  const std::string& name = parts.first;
  if (name == "memory_fill") {
    scheduler.memory_fill = value;
  } else if (name == "late_memory_fill") {
    scheduler.late_memory_fill = value;
  } else if (name == "max_prompt_backlog_ms") {
    scheduler.max_prompt_backlog = absl::Milliseconds(value);
  } else if (name == "failure_load") {
    scheduler.failure_load = value;
  } else if (name == "requests_per_second") {
    day.requests_per_second = value;
  } else if (name == "exchange_ms") {
    day.exchange_interval = absl::Milliseconds(value);
  } else if (name == "arrival_interval_ms") {
    day.arrival_interval = absl::Milliseconds(value);
  } else if (name == "announces") {
    day.front.announces = value != 0;
  } else if (name == "memory_tokens") {
    day.front.engine.memory_tokens = static_cast<int64_t>(value);
  } else if (name == "fronts") {
    day.fronts = static_cast<uint32_t>(value);
  } else if (name == "prefill_engines") {
    day.prefill_engines = static_cast<uint32_t>(value);
  } else if (name == "decode_engines") {
    day.decode_engines = static_cast<uint32_t>(value);
  } else {
    return false;
  }
  return true;
}

// Plays the same day with many seeds.
std::vector<DayReport> PlaySeeds(const DayOptions& day, uint64_t first_seed,
                                 uint64_t seeds, uint32_t threads) {
  std::vector<DayReport> reports(seeds);
  std::atomic<uint64_t> next{0};
  std::vector<std::thread> workers;
  for (uint32_t n = 0; n < std::max<uint32_t>(1, threads); ++n) {
    workers.emplace_back([&] {
      for (uint64_t it = next++; it < seeds; it = next++) {
        DayOptions mine = day;
        mine.seed = first_seed + it;
        reports[it] = PlayDay(mine);
      }
    });
  }
  for (std::thread& it : workers) it.join();
  return reports;
}

struct Totals {
  DayCounts counts;
  double ideal = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  uint64_t repeats = 0;
  uint64_t preemptions = 0;
  uint64_t prompts_wasted = 0;
};

Totals AddUp(const std::vector<DayReport>& reports) {
  Totals totals;
  for (const DayReport& it : reports) {
    totals.counts.asked += it.counts.asked;
    totals.counts.on_time += it.counts.on_time;
    totals.counts.late += it.counts.late;
    totals.counts.late_came_back += it.counts.late_came_back;
    totals.counts.late_began += it.counts.late_began;
    totals.counts.refused += it.counts.refused;
    totals.counts.failed += it.counts.failed;
    totals.counts.left += it.counts.left;
    totals.ideal += it.ideal;
    totals.repeats += it.repeats;
    totals.preemptions += it.preemptions;
    totals.prompts_wasted += it.prompts_wasted;
    auto runs = static_cast<double>(reports.size());
    totals.p50_ms += absl::ToDoubleMilliseconds(it.first_event_p50) / runs;
    totals.p99_ms += absl::ToDoubleMilliseconds(it.first_event_p99) / runs;
  }
  return totals;
}

void PrintHeader() {
  std::printf(
      "%-8s %-15s %7s %8s %8s %7s %7s %7s %8s %7s %6s %7s %7s %8s %8s %8s\n",
      "day", "policy", "asked", "on time", "of ideal", "late", "back", "began",
      "refused", "failed", "left", "p50 ms", "p99 ms", "repeats", "preempt",
      "in vain");
}

void PrintRow(const std::string& day, const std::string& policy,
              const Totals& totals) {
  auto asked = static_cast<double>(std::max<uint64_t>(1, totals.counts.asked));
  auto share = [asked](uint64_t n) { return static_cast<double>(n) / asked; };
  std::printf(
      "%-8s %-15s %7.0f %8.4f %8.4f %7.4f %7.4f %7.4f %8.4f %7.4f %6.4f %7.0f "
      "%7.0f "
      "%8.4f %8.4f %8.4f\n",
      day.c_str(), policy.c_str(), asked, share(totals.counts.on_time),
      static_cast<double>(totals.counts.on_time) / std::max(1.0, totals.ideal),
      share(totals.counts.late), share(totals.counts.late_came_back),
      share(totals.counts.late_began), share(totals.counts.refused),
      share(totals.counts.failed), share(totals.counts.left), totals.p50_ms,
      totals.p99_ms, share(totals.repeats), share(totals.preemptions),
      share(totals.prompts_wasted));
}

bool PrintViolations(const std::vector<DayReport>& reports,
                     uint64_t first_seed) {
  bool sound = true;
  for (size_t it = 0; it < reports.size(); ++it) {
    for (const std::string& text : reports[it].violations) {
      std::fprintf(stderr, "seed %zu: %s\n",
                   static_cast<size_t>(first_seed) + it, text.c_str());
      sound = false;
    }
  }
  return sound;
}

bool WritePlot(const std::string& file, const std::vector<PlottedDay>& days) {
  std::ofstream out(file);
  out << PlotDays(days);
  if (out.good()) return true;
  std::fprintf(stderr, "cannot write %s\n", file.c_str());
  return false;
}

}  // namespace

bool RunDayBench(const DayBenchOptions& options) {
  bool sound = true;
  std::vector<PlottedDay> plotted;
  PrintHeader();
  for (const std::string& name : options.days) {
    for (const std::string& policy_name : options.policies) {
      DayOptions day = NamedDay(name);
      std::optional<FrontPolicy> policy = ParsePolicy(policy_name);
      if (day.name.empty() || !policy) {
        std::fprintf(stderr,
                     "unknown day %s or policy %s; days: %s; policies: "
                     "dispatch, round-robin, least-requests, two-choices\n",
                     name.c_str(), policy_name.c_str(),
                     absl::StrJoin(DayNames(), ", ").c_str());
        return false;
      }
      day.front.policy = *policy;
      for (const std::string& change : options.changes) {
        if (ApplyChange(change, day)) continue;
        std::fprintf(stderr, "unknown change %s\n", change.c_str());
        return false;
      }
      std::vector<DayReport> reports =
          PlaySeeds(day, options.first_seed, options.seeds, options.threads);
      PrintRow(name, policy_name, AddUp(reports));
      sound &= PrintViolations(reports, options.first_seed);
      plotted.push_back(
          {absl::StrCat(name, ", ", policy_name), reports.front()});
    }
  }
  if (!options.plot.empty()) sound &= WritePlot(options.plot, plotted);
  return sound;
}

}  // namespace chervilwick
