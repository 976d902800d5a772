// Measuring tool of the project.

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstring>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "capacity_bench.h"
#include "chervilwick/emulator/day.h"
#include "chervilwick/kernel/duty.h"
#include "day_bench.h"
#include "load_bench.h"
#include "policy_bench.h"

DEFINE_string(deployment, "inkingi", "policy: inkingi or veilig-ry");
DEFINE_string(scenario, "steady",
              "policy: steady, crest, straggler or mixed-faults");
DEFINE_string(policy, "chervilwick",
              "policy: chervilwick, round-robin, least-reported, two-choices");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "policy: number of runs, each with the next seed");
DEFINE_uint64(seconds, 60, "policy: virtual seconds of demand");
DEFINE_bool(without_stragglers, false,
            "policy: the straggler scenario's load without stragglers");
DEFINE_string(target, "", "load: ip:port on loopback of an entry or an engine");
DEFINE_string(prefill_target, "",
              "load: ip:port of the engine that prefills, when the target is a "
              "decode engine");
DEFINE_string(model, "", "load: name of the model");
DEFINE_uint32(streams, 200, "load: streams open at once");
DEFINE_uint32(requests, 400, "load: requests in all");
DEFINE_uint32(tokens, 100, "load: tokens of each answer");
DEFINE_string(spread, "1s",
              "load: time over which the first requests are sent");
DEFINE_string(days, "", "day: names, with commas; all if empty");
DEFINE_string(policies, "dispatch,round-robin,least-requests,two-choices",
              "day: names, with commas");
DEFINE_string(changes, "",
              "day: changed options, name=value with commas: memory_fill, "
              "late_memory_fill, max_prompt_backlog_ms, failure_load, "
              "arrival_interval_ms, requests_per_second, exchange_ms, "
              "announces, memory_tokens, fronts, "
              "prefill_engines, decode_engines");
DEFINE_string(plot, "", "day: SVG file for the first seed's days");
DEFINE_bool(json, false, "print one JSON object per run");

namespace chervilwick {
namespace {

constexpr int kUsageError = 2;

PolicyBenchOptions OptionsFor(uint64_t seed) {
  PolicyBenchOptions options;
  options.deployment = FLAGS_deployment;
  options.scenario = FLAGS_scenario;
  options.policy = FLAGS_policy;
  options.seed = seed;
  options.duration = absl::Seconds(FLAGS_seconds);
  options.without_stragglers = FLAGS_without_stragglers;
  return options;
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

template <typename Get>
double MedianOf(const std::vector<PolicyBenchResult>& results, Get get) {
  std::vector<double> values;
  values.reserve(results.size());
  for (const PolicyBenchResult& it : results) {
    values.push_back(static_cast<double>(get(it)));
  }
  return Median(std::move(values));
}

void PrintSummary(const std::vector<PolicyBenchResult>& results) {
  using Result = PolicyBenchResult;
  auto row = [&](const char* name, auto get) {
    std::printf("  %-28s median %10.3f\n", name, MedianOf(results, get));
  };
  std::printf("%s %s %s%s: %zu seeds from %llu\n", FLAGS_deployment.c_str(),
              FLAGS_scenario.c_str(), FLAGS_policy.c_str(),
              FLAGS_without_stragglers ? " without stragglers" : "",
              results.size(),
              static_cast<unsigned long long>(FLAGS_seed));  // NOLINT
  row("good of allowed", [](const Result& it) {
    return static_cast<double>(it.good) / std::max(1.0, it.allowed);
  });
  row("good of offered", [](const Result& it) {
    return static_cast<double>(it.good) /
           std::max<double>(1, static_cast<double>(it.offered));
  });
  row("refused", [](const Result& it) { return it.refused; });
  row("failed", [](const Result& it) { return it.failed; });
  row("lost", [](const Result& it) { return it.lost; });
  row("wasted prefill %",
      [](const Result& it) { return 100 * it.wasted_prefill; });
  row("first token p50 ms",
      [](const Result& it) { return it.first_token.p50; });
  row("first token p95 ms",
      [](const Result& it) { return it.first_token.p95; });
  row("first token p99 ms",
      [](const Result& it) { return it.first_token.p99; });
  row("door first token p99 ms",
      [](const Result& it) { return it.door_first_token.p99; });
  row("door refused", [](const Result& it) { return it.door_refused; });
  row("per token p50 ms", [](const Result& it) { return it.per_token.p50; });
  row("per token p95 ms", [](const Result& it) { return it.per_token.p95; });
  row("per token p99 ms", [](const Result& it) { return it.per_token.p99; });
  row("fairness", [](const Result& it) { return it.fairness; });
  row("preempted", [](const Result& it) { return it.preempted; });
  row("hedges", [](const Result& it) { return it.hedges; });
}

int RunLoad() {
  LoadBenchOptions options;
  options.target = FLAGS_target;
  options.prefill_target = FLAGS_prefill_target;
  options.model = FLAGS_model;
  options.streams = FLAGS_streams;
  options.requests = FLAGS_requests;
  options.tokens = FLAGS_tokens;
  bool valid = absl::ParseDuration(FLAGS_spread, &options.spread) &&
               absl::StartsWith(FLAGS_target, "127.") && FLAGS_streams > 0;
  if (!valid) {
    std::fprintf(stderr, "--target must be on loopback, --spread a duration\n");
    return kUsageError;
  }
  return RunLoadBench(options);
}

std::vector<std::string> Names(const std::string& flag) {
  return absl::StrSplit(flag, ',', absl::SkipEmpty());
}

int RunDays() {
  DayBenchOptions options;
  options.days = FLAGS_days.empty() ? DayNames() : Names(FLAGS_days);
  options.policies = Names(FLAGS_policies);
  options.changes = Names(FLAGS_changes);
  options.first_seed = FLAGS_seed;
  options.seeds = std::max<uint64_t>(1, FLAGS_seeds);
  options.plot = FLAGS_plot;
  options.threads = std::thread::hardware_concurrency();
  return RunDayBench(options) ? 0 : kUsageError;
}

int RunPolicies() {
  if (!IsKnownScenario(OptionsFor(FLAGS_seed)) || FLAGS_seeds == 0) {
    std::fprintf(stderr, "unknown deployment, scenario or policy\n");
    return kUsageError;
  }
  std::vector<PolicyBenchResult> results(FLAGS_seeds);
  std::atomic<uint64_t> next{0};
  std::vector<Duty> workers(
      std::min<uint64_t>(FLAGS_seeds, std::thread::hardware_concurrency()));
  for (Duty& it : workers) {
    it.Start("bench", [&] {
      for (uint64_t n = next++; n < FLAGS_seeds; n = next++) {
        results[n] = RunPolicyBench(OptionsFor(FLAGS_seed + n));
      }
    });
  }
  for (Duty& it : workers) it.Join();
  for (uint64_t it = 0; it < FLAGS_seeds; ++it) {
    if (!FLAGS_json) continue;
    std::printf("%s\n",
                ToJson(OptionsFor(FLAGS_seed + it), results[it]).c_str());
  }
  if (!FLAGS_json) PrintSummary(results);
  return 0;
}

}  // namespace
}  // namespace chervilwick

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Measures the decisions of the cores under virtual time.\n"
      "Usage: chervilwick-bench policy [--deployment=D] [--scenario=S] "
      "[--policy=P] [--seed=N] [--seeds=N] [--json]\n"
      "       chervilwick-bench day [--days=D,...] [--policies=P,...] "
      "[--seed=N] [--seeds=N] [--changes=NAME=VALUE,...] [--plot=FILE]\n"
      "       chervilwick-bench load --target=IP:PORT --model=M [--streams=N]\n"
      "       chervilwick-bench capacity");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc == 2 && std::strcmp(argv[1], "policy") == 0) {
    return chervilwick::RunPolicies();
  }
  if (argc == 2 && std::strcmp(argv[1], "day") == 0) {
    return chervilwick::RunDays();
  }
  if (argc == 2 && std::strcmp(argv[1], "load") == 0) {
    return chervilwick::RunLoad();
  }
  if (argc == 2 && std::strcmp(argv[1], "capacity") == 0) {
    return chervilwick::RunCapacityBench();
  }
  std::fprintf(
      stderr,
      "usage: chervilwick-bench day|policy|load|capacity, see --help\n");
  return 2;
}
