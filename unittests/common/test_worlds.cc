// Worlds and requests that tests share.

#include "test_worlds.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace chervilwick {
namespace {

WorldAgentSpec Spec(const std::string& name, PoolRole role,
                    const std::string& zone) {
  WorldAgentSpec spec;
  spec.engine.name = BackendName(name);
  spec.engine.role = role;
  if (role != PoolRole::kPlain) spec.engine.weights = "r1";
  spec.zone = ZoneName(zone);
  return spec;
}

}  // namespace

WorldOptions SmallWorld(uint64_t seed) {
  WorldOptions options;
  options.seed = seed;
  options.entry_zones = {ZoneName("a"), ZoneName("b")};
  options.agents = {
      Spec("p0", PoolRole::kPrefill, "a"), Spec("p1", PoolRole::kPrefill, "b"),
      Spec("d0", PoolRole::kDecode, "a"),  Spec("d1", PoolRole::kDecode, "b"),
      Spec("s0", PoolRole::kPlain, "a"),   Spec("s1", PoolRole::kPlain, "b")};
  return options;
}

void AcceptSetup(World& world, const std::string& priority) {
  world.RunFor(absl::Milliseconds(500));
  std::vector<WorldAgentSpec> agents;
  for (size_t it = 0; it < world.agent_count(); ++it) {
    agents.push_back({world.engine(it).options(), ZoneName("a")});
  }
  VersionRequest request;
  request.kind = VersionRequestKind::kPatch;
  request.patch_id = PatchId("first");
  request.patch = MakeSetup(agents, priority);
  request.author = "test";
  request.reason = "first version";
  request.force = true;
  world.Submit(0, std::move(request));
  world.RunFor(absl::Seconds(3));
}

uint64_t AskFor(World& world, size_t entry, uint64_t question,
                uint32_t tokens) {
  ClientStream ask;
  ask.client = ClientName("client");
  ask.model = ModelName("model");
  ask.prompt = MakePrompt(question, tokens);
  ask.prompt_tokens = 500;
  ask.max_tokens = tokens + 10;
  return world.AskStream(entry, std::move(ask));
}

std::vector<uint64_t> PlayLossyStreams(World& world, bool reorders) {
  world.SetLoss(0.2, 0.2, reorders);
  std::vector<uint64_t> numbers;
  for (uint64_t it = 1; it <= 4; ++it) {
    numbers.push_back(AskFor(world, it % 2, it, 150));
  }
  world.RunFor(absl::Seconds(20));
  world.SetLoss(0, 0, false);
  world.RunFor(absl::Seconds(30));
  return numbers;
}

uint64_t Book(World& world, size_t entry, const std::string& body,
              const std::string& key) {
  ClientCall ask;
  ask.client = ClientName("client");
  ask.method = "POST";
  ask.path = "/booking";
  ask.body = body;
  ask.idempotency_key = key;
  return world.AskCall(entry, std::move(ask), false);
}

uint64_t CheckBooking(World& world, size_t entry, const std::string& body) {
  ClientCall ask;
  ask.client = ClientName("client");
  ask.method = "POST";
  ask.path = "/check";
  ask.body = body;
  return world.AskCall(entry, std::move(ask), true);
}

uint64_t PlainRuns(World& world, const std::string& body) {
  uint64_t runs = 0;
  for (size_t it = 0; it < world.agent_count(); ++it) {
    const auto& log = world.engine(it).log().plain_runs;
    auto found = log.find(body);
    if (found != log.end()) runs += found->second;
  }
  return runs;
}

uint64_t ModelRuns(World& world, const std::string& prompt) {
  uint64_t runs = 0;
  for (size_t it = 0; it < world.agent_count(); ++it) {
    const auto& log = world.engine(it).log().model_runs;
    auto found = log.find(prompt);
    if (found != log.end()) runs += found->second;
  }
  return runs;
}

uint64_t SubmitPatch(World& world, size_t entry, uint64_t base,
                     const std::string& patch, const std::string& patch_id) {
  VersionRequest request;
  request.kind = VersionRequestKind::kPatch;
  request.base = VersionNumber(base);
  request.patch_id = PatchId(patch_id);
  request.patch = patch;
  request.author = "test";
  request.reason = "test";
  return world.Submit(entry, std::move(request));
}

const VersionResult* VerdictOf(World& world, uint64_t id) {
  for (const VersionResult& it : world.verdicts()) {
    if (it.id == id) return &it;
  }
  return nullptr;
}

}  // namespace chervilwick
