// Workloads.

#include "workload.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace chervilwick {
namespace {

constexpr size_t kEntries = 3;
constexpr uint32_t kPlaces = 20;
constexpr absl::Duration kTokenTime = absl::Milliseconds(25);
constexpr absl::Duration kPrefillPerToken = absl::Microseconds(60);
constexpr uint32_t kMinPrompt = 300;
constexpr uint32_t kMaxPrompt = 2700;
constexpr uint32_t kMinOutput = 40;
constexpr uint32_t kMaxOutput = 200;
// A tenth of the prompts starts with one of a few long shared texts.
constexpr uint32_t kSharedPrefixes = 12;
constexpr double kSharedShare = 0.1;
constexpr size_t kSharedBytes = 2048;

// Demand swings within seconds.
constexpr double kCrestPeriodSeconds = 20;
constexpr double kCrestSeconds = 6;
constexpr double kCrestHigh = 2.0;
constexpr double kCrestLow = 0.6;
constexpr double kSteady = 0.7;
constexpr double kStraggler = 0.6;

}  // namespace

Deployment DeploymentByName(const std::string& name) {
  Deployment deployment;
  if (name == "inkingi") {
    deployment.zones = {ZoneName("kigali-a"), ZoneName("kigali-b"),
                        ZoneName("kigali-c")};
    deployment.prefill_engines = 5;
    deployment.decode_engines = 10;
    deployment.door_share = 0.15;
    deployment.others_can_wait = true;
    return deployment;
  }
  deployment.zones = {ZoneName("gp-pretoria"), ZoneName("gp-joburg"),
                      ZoneName("gp-ekurhuleni"), ZoneName("gp-vaal")};
  deployment.prefill_engines = 7;
  deployment.decode_engines = 15;
  return deployment;
}

WorldOptions MakeWorld(const Deployment& deployment, uint64_t seed) {
  WorldOptions options;
  options.seed = seed;
  size_t zones = deployment.zones.size();
  for (size_t it = 0; it < kEntries; ++it) {
    options.entry_zones.push_back(deployment.zones[it % zones]);
  }
  uint32_t total = deployment.prefill_engines + deployment.decode_engines;
  for (uint32_t it = 0; it < total; ++it) {
    WorldAgentSpec spec;
    bool prefill = it < deployment.prefill_engines;
    spec.engine.name = BackendName(absl::StrCat(prefill ? "p" : "d", it));
    spec.engine.role = prefill ? PoolRole::kPrefill : PoolRole::kDecode;
    spec.engine.weights = "r1";
    spec.engine.places = kPlaces;
    spec.engine.per_token = kTokenTime;
    spec.engine.prefill_per_token = kPrefillPerToken;
    spec.zone = deployment.zones[it % zones];
    options.agents.push_back(spec);
  }
  return options;
}

double Capacity(const Deployment& deployment) {
  double prompt = (kMinPrompt + kMaxPrompt) / 2.0;
  double output = (kMinOutput + kMaxOutput) / 2.0;
  double prefill = deployment.prefill_engines /
                   (prompt * absl::ToDoubleSeconds(kPrefillPerToken));
  double decode = deployment.decode_engines * kPlaces /
                  (output * absl::ToDoubleSeconds(kTokenTime));
  return std::min(prefill, decode);
}

DrawnRequest DrawRequest(const Deployment& deployment, uint64_t number,
                         std::mt19937_64& random) {
  std::uniform_real_distribution<double> share(0, 1);
  std::uniform_int_distribution<uint32_t> prompt(kMinPrompt, kMaxPrompt);
  std::uniform_int_distribution<uint32_t> output(kMinOutput, kMaxOutput);
  DrawnRequest drawn;
  drawn.door = share(random) < deployment.door_share;
  uint32_t tokens = output(random);
  std::string prefix;
  if (share(random) < kSharedShare) {
    std::string word = absl::StrCat("shared", number % kSharedPrefixes, " ");
    while (prefix.size() < kSharedBytes) prefix += word;
  }
  ClientStream& ask = drawn.ask;
  ask.client =
      ClientName(absl::StrCat("client-", random() % deployment.clients));
  ask.model = ModelName("model");
  bool waits = deployment.others_can_wait && !drawn.door;
  ask.priority = waits ? Priority::kBatch : Priority::kUrgent;
  ask.prompt = MakePrompt(number, tokens, prefix);
  ask.prompt_tokens = prompt(random);
  // Clients bound the answer generously.
  ask.max_tokens = tokens + tokens / 4;
  return drawn;
}

double DemandAt(const std::string& scenario, absl::Duration since_start) {
  if (scenario == "straggler") return kStraggler;
  if (scenario != "crest") return kSteady;
  double phase =
      std::fmod(absl::ToDoubleSeconds(since_start), kCrestPeriodSeconds);
  return phase < kCrestSeconds ? kCrestHigh : kCrestLow;
}

Targets TargetsOf(const Deployment& deployment, bool door) {
  Targets targets;
  bool waits = deployment.others_can_wait && !door;
  targets.first_token = waits ? absl::Seconds(20) : absl::Milliseconds(1500);
  targets.per_token = absl::Milliseconds(32);
  return targets;
}

}  // namespace chervilwick
