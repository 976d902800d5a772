// One run of the policy bench.

#include "policy_bench.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/config/merge_patch.h"
#include "chervilwick/testbed/world.h"
#include "workload.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kWarmUp = absl::Seconds(3);
constexpr absl::Duration kDrainTime = absl::Seconds(70);
constexpr absl::Duration kArrivalStep = absl::Milliseconds(5);
constexpr double kStragglerFactor = 5;
constexpr size_t kStragglers = 2;
constexpr double kMeanPrefillSeconds = 0.1;

Quantiles ToQuantiles(std::vector<double> values) {
  Quantiles quantiles;
  if (values.empty()) return quantiles;
  std::sort(values.begin(), values.end());
  auto at = [&](double share) {
    size_t index =
        static_cast<size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
  };
  quantiles.p50 = at(0.5);
  quantiles.p95 = at(0.95);
  quantiles.p99 = at(0.99);
  return quantiles;
}

// Everything that one run keeps.
class Run {
 public:
  explicit Run(const PolicyBenchOptions& options)
      : options_(options),
        deployment_(DeploymentByName(options.deployment)),
        demand_random_(options.seed * 7919 + 17),
        fault_random_(options.seed * 104729 + 5) {
    WorldOptions world = MakeWorld(deployment_, options.seed);
    world.policy = *PolicyByName(options.policy);
    world_ = std::make_unique<World>(std::move(world));
    world_->on_end = [this](const ClientRecord& client) { OnEnd(client); };
  }

  PolicyBenchResult Execute() {
    AcceptSetup();
    start_ = world_->now();
    PlanFaults();
    Arrive();
    world_->RunFor(options_.duration + kDrainTime);
    Summarize();
    return result_;
  }

 private:
  void AcceptSetup() {
    world_->RunFor(absl::Milliseconds(500));
    std::vector<WorldAgentSpec> agents;
    for (size_t it = 0; it < world_->agent_count(); ++it) {
      agents.push_back({world_->engine(it).options(), ZoneName("")});
    }
    VersionRequest request;
    request.kind = VersionRequestKind::kPatch;
    request.patch_id = PatchId("bench");
    // Clients lower the priority of what can wait.
    std::string priority = deployment_.others_can_wait ? "urgent" : "normal";
    request.patch = MakeSetup(agents, priority);
    request.author = "bench";
    request.reason = "bench";
    request.force = true;
    world_->Submit(0, std::move(request));
    world_->RunFor(kWarmUp);
  }

  // Poisson arrivals, thinned to the demand of the moment.
  void Arrive() {
    absl::Duration since = world_->now() - start_;
    if (since > options_.duration) return;
    double demand = DemandAt(options_.scenario, since) * Capacity(deployment_);
    double mean = demand * absl::ToDoubleSeconds(kArrivalStep);
    int n = std::poisson_distribution<int>(mean)(demand_random_);
    for (int it = 0; it < n; ++it) Ask();
    UpdateAllowed(n);
    world_->events().After(kArrivalStep, [this] { Arrive(); });
  }

  // Fluid model of an ideal server: what is beyond capacity waits as long as
  // it can still meet its target, the rest is beyond what capacity allows.
  void UpdateAllowed(int arrivals) {
    double step = absl::ToDoubleSeconds(kArrivalStep);
    double capacity = Capacity(deployment_);
    Targets targets = TargetsOf(deployment_, false);
    double patience =
        absl::ToDoubleSeconds(targets.first_token) - kMeanPrefillSeconds;
    backlog_ += arrivals;
    double served = std::min(backlog_, capacity * step);
    backlog_ -= served;
    result_.allowed += served;
    backlog_ = std::min(backlog_, capacity * patience);
  }

  void Ask() {
    DrawnRequest drawn =
        DrawRequest(deployment_, next_number_++, demand_random_);
    size_t entry = demand_random_() % world_->entry_count();
    ++result_.offered;
    if (drawn.door) ++result_.door_offered;
    std::string client = drawn.ask.client.value();
    ++offered_by_client_[client];
    // The answer may come before the call returns.
    pending_door_ = drawn.door;
    pending_client_ = client;
    uint64_t number = world_->AskStream(entry, std::move(drawn.ask));
    if (drawn.door) doors_.insert(number);
    client_of_[number] = client;
  }

  bool IsDoor(uint64_t number) const {
    return client_of_.count(number) > 0 ? doors_.count(number) > 0
                                        : pending_door_;
  }

  void OnEnd(const ClientRecord& client) {
    bool door = IsDoor(client.number);
    auto owner = client_of_.find(client.number);
    const std::string& name =
        owner == client_of_.end() ? pending_client_ : owner->second;
    const RequestOutcome& outcome = client.outcomes.front();
    if (outcome.run == RunState::kNotRun) {
      ++result_.refused;
      if (door && ServesReports()) ++result_.door_refused;
      return;
    }
    if (outcome.run != RunState::kDone) {
      ++result_.failed;
      return;
    }
    ++result_.whole;
    absl::Duration first = client.first_token - client.asked;
    absl::Duration rest = client.last_token - client.first_token;
    size_t gaps = std::max<size_t>(1, client.tokens.size() - 1);
    absl::Duration per_token = rest / static_cast<int64_t>(gaps);
    auto& sample = door ? door_first_ : first_;
    sample.push_back(absl::ToDoubleMilliseconds(first));
    per_token_.push_back(absl::ToDoubleMilliseconds(per_token));
    Targets targets = TargetsOf(deployment_, door);
    if (first > targets.first_token || per_token > targets.per_token) return;
    ++result_.good;
    ++good_by_client_[name];
  }

  bool ServesReports() const {
    for (size_t it = 0; it < world_->agent_count(); ++it) {
      if (world_->agent(it) == nullptr) continue;
      if (world_->agent(it)->HasPreemptibleAttempt()) return true;
    }
    return false;
  }

  void PlanFaults() {
    if (options_.scenario == "straggler") PlanStragglers();
    if (options_.scenario == "mixed-faults") PlanMixedFaults();
  }

  void PlanStragglers() {
    if (options_.without_stragglers) return;
    absl::Time end = start_ + options_.duration;
    std::set<size_t> chosen;
    while (chosen.size() < kStragglers) {
      chosen.insert(fault_random_() % world_->agent_count());
    }
    // Slow for moments, with pauses in between.
    for (size_t agent : chosen) {
      absl::Time at = start_ + absl::Seconds(3);
      while (at < end) {
        absl::Duration spell =
            absl::Milliseconds(2000 + fault_random_() % 6000);
        world_->events().At(at, [this, agent, spell] {
          world_->engine(agent).SlowDown(kStragglerFactor,
                                         world_->now() + spell);
        });
        at += spell + absl::Milliseconds(500 + fault_random_() % 2000);
      }
    }
  }

  void PlanMixedFaults() {
    auto at = [&](double second, std::function<void()> fault) {
      world_->events().At(start_ + absl::Seconds(second), std::move(fault));
    };
    size_t agents = world_->agent_count();
    size_t a = fault_random_() % agents;
    size_t b = fault_random_() % agents;
    size_t c = fault_random_() % agents;
    size_t d = fault_random_() % agents;
    at(8, [this, a] { world_->engine(a).Crash(); });
    at(15, [this, b] { world_->CrashAgent(b); });
    at(18, [this, b] { world_->RestartAgent(b); });
    at(22, [this] { world_->store_faults().down = true; });
    at(24, [this, c] { world_->PauseAgent(c, absl::Seconds(4)); });
    at(32, [this] { world_->store_faults().down = false; });
    at(36, [this, d] { world_->StopAgent(d); });
    at(42, [this, d] {
      world_->CrashAgent(d);
      world_->RestartAgent(d);
    });
    at(45, [this] { world_->PauseEntry(0, absl::Seconds(1)); });
    at(50, [this, a] { world_->SilenceLink(1, a); });
  }

  void Summarize() {
    uint64_t started = 0;
    uint64_t wasted = 0;
    for (size_t it = 0; it < world_->entry_count(); ++it) {
      const EntryStats& stats = world_->entry(it)->stats();
      started += stats.prefills_started;
      wasted += stats.prefills_wasted;
      result_.preempted += stats.preempted;
      result_.hedges += stats.hedges;
      result_.retries += stats.retries;
    }
    result_.wasted_prefill = static_cast<double>(wasted) /
                             std::max(1.0, static_cast<double>(started));
    result_.lost =
        result_.offered - result_.whole - result_.refused - result_.failed;
    result_.allowed = std::min<double>(result_.allowed + backlog_,
                                       static_cast<double>(result_.offered));
    result_.first_token = ToQuantiles(first_);
    result_.door_first_token = ToQuantiles(door_first_);
    result_.per_token = ToQuantiles(per_token_);
    double sum = 0;
    double squares = 0;
    for (const auto& [client, offered] : offered_by_client_) {
      double share = static_cast<double>(good_by_client_[client]) /
                     static_cast<double>(offered);
      sum += share;
      squares += share * share;
    }
    double n = static_cast<double>(offered_by_client_.size());
    result_.fairness = squares > 0 ? sum * sum / (n * squares) : 0;
  }

  const PolicyBenchOptions options_;
  const Deployment deployment_;
  std::mt19937_64 demand_random_;
  std::mt19937_64 fault_random_;
  std::unique_ptr<World> world_;
  absl::Time start_;
  uint64_t next_number_ = 1;
  double backlog_ = 0;
  bool pending_door_ = false;
  std::string pending_client_;
  std::set<uint64_t> doors_;
  std::map<uint64_t, std::string> client_of_;
  std::map<std::string, uint64_t> offered_by_client_;
  std::map<std::string, uint64_t> good_by_client_;
  std::vector<double> first_;
  std::vector<double> door_first_;
  std::vector<double> per_token_;
  PolicyBenchResult result_;
};

nlohmann::json QuantilesToJson(const Quantiles& quantiles) {
  return {
      {"p50", quantiles.p50}, {"p95", quantiles.p95}, {"p99", quantiles.p99}};
}

}  // namespace

bool IsKnownScenario(const PolicyBenchOptions& options) {
  bool deployment =
      options.deployment == "inkingi" || options.deployment == "veilig-ry";
  bool scenario = options.scenario == "steady" || options.scenario == "crest" ||
                  options.scenario == "straggler" ||
                  options.scenario == "mixed-faults";
  return deployment && scenario && PolicyByName(options.policy).has_value();
}

PolicyBenchResult RunPolicyBench(const PolicyBenchOptions& options) {
  return Run(options).Execute();
}

std::string ToJson(const PolicyBenchOptions& options,
                   const PolicyBenchResult& result) {
  nlohmann::json out = {
      {"deployment", options.deployment},
      {"scenario", options.scenario},
      {"policy", options.policy},
      {"seed", options.seed},
      {"without_stragglers", options.without_stragglers},
      {"offered", result.offered},
      {"good", result.good},
      {"allowed", result.allowed},
      {"good_of_allowed",
       static_cast<double>(result.good) / std::max(1.0, result.allowed)},
      {"whole", result.whole},
      {"refused", result.refused},
      {"failed", result.failed},
      {"lost", result.lost},
      {"door_offered", result.door_offered},
      {"door_refused_while_reports_served", result.door_refused},
      {"wasted_prefill", result.wasted_prefill},
      {"fairness", result.fairness},
      {"preempted", result.preempted},
      {"hedges", result.hedges},
      {"retries", result.retries},
      {"first_token_ms", QuantilesToJson(result.first_token)},
      {"door_first_token_ms", QuantilesToJson(result.door_first_token)},
      {"per_token_ms", QuantilesToJson(result.per_token)}};
  return out.dump();
}

}  // namespace chervilwick
