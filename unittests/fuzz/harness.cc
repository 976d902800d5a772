// Drawn events on a world.

#include "harness.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "chervilwick/config/merge_patch.h"
#include "test_worlds.h"

namespace chervilwick {
namespace {

constexpr uint32_t kKeys = 4;
constexpr uint32_t kPoisons = 2;
constexpr uint32_t kLongStream = 300;  // tokens

// First version: the usual pools, with deadlines that a run can wait for.
constexpr char kDeadlines[] = R"({
  "models": {"model": {"deadline": "10s", "priority": "batch"}},
  "services": {"/booking": {"deadline": "10s"}, "/check": {"deadline": "10s"}}
})";

// Some streams last longer than the bound on memory held for nobody.
uint32_t StreamTokens(uint32_t drawn) {
  return drawn % 4 == 0 ? kLongStream : 1 + drawn % 60;
}

// Calls last long enough to be caught by a fault.
WorldOptions FuzzedWorld(uint64_t seed) {
  WorldOptions options = SmallWorld(seed);
  for (WorldAgentSpec& it : options.agents) {
    it.engine.call_time = absl::Milliseconds(400);
  }
  return options;
}

std::string DrainPatch(const std::string& server, const std::string& pool,
                       bool drained) {
  return absl::StrCat(R"({"pools":{")", pool, R"(":{"servers":{")", server,
                      R"(":{"drained":)", drained ? "true" : "null", "}}}}}");
}

}  // namespace

const char* StepName(StepKind kind) {
  static constexpr const char* names[] = {
      "stream",      "poison",      "booking",      "keyed_booking",
      "check",       "go_away",     "patch",        "racing_patches",
      "drain",       "undrain",     "retreat",      "split_pools",
      "crash_entry", "crash_agent", "restart",      "stop_agent",
      "pause_entry", "pause_agent", "silence",      "cut",
      "loss_on",     "loss_off",    "store_down",   "store_loses_answers",
      "store_slow",  "store_ok",    "crash_engine", "slow_engine"};
  return names[static_cast<size_t>(kind)];
}

Harness::Harness(uint64_t seed) : world_(FuzzedWorld(seed)), oracle_(world_) {
  world_.RunFor(absl::Milliseconds(500));
  std::vector<WorldAgentSpec> agents;
  for (size_t it = 0; it < world_.agent_count(); ++it) {
    agents.push_back({world_.engine(it).options(), ZoneName("a")});
  }
  Patch(0, 0, *ApplyMergePatch(MakeSetup(agents), kDeadlines));
  world_.RunFor(absl::Seconds(3));
}

uint64_t Harness::Head() {
  auto it = world_.store().data().find("chervilwick/config/head");
  uint64_t head = 0;
  if (it != world_.store().data().end()) {
    static_cast<void>(absl::SimpleAtoi(it->second.value, &head));
  }
  return head;
}

void Harness::Patch(size_t entry, uint64_t base, const std::string& patch) {
  VersionRequest request;
  request.kind = VersionRequestKind::kPatch;
  request.base = VersionNumber(base);
  request.patch_id = PatchId(absl::StrCat("patch-", next_patch_++));
  request.patch = patch;
  request.author = "fuzz";
  request.reason = "fuzz";
  request.force = true;
  world_.Submit(entry, std::move(request));
}

std::string Harness::Apply(const Step& step) {
  Perform(step);
  world_.RunFor(absl::Milliseconds(step.wait_ms));
  return oracle_.CheckStep();
}

std::string Harness::Finish() {
  world_.HealAll();
  world_.RunFor(absl::Seconds(25));
  return oracle_.CheckEnd();
}

void Harness::Perform(const Step& step) {
  if (step.kind <= StepKind::kGoAway) {
    Clients(step);
  } else if (step.kind <= StepKind::kSplitPools) {
    Operators(step);
  } else if (step.kind <= StepKind::kPauseAgent) {
    Processes(step);
  } else if (step.kind <= StepKind::kLossOff) {
    Connections(step);
  } else {
    Platform(step);
  }
}

void Harness::Clients(const Step& step) {
  size_t entry = step.a % world_.entry_count();
  uint64_t number = next_++;
  switch (step.kind) {
    case StepKind::kStream:
      AskFor(world_, entry, number, StreamTokens(step.b));
      break;
    case StepKind::kPoison: {
      ClientStream ask;
      ask.client = ClientName("client");
      ask.model = ModelName("model");
      ask.prompt = absl::StrCat("POISON ", step.b % kPoisons, " ",
                                MakePrompt(number, 5));
      ask.prompt_tokens = 100;
      ask.max_tokens = 5;
      world_.AskStream(entry, std::move(ask));
      break;
    }
    case StepKind::kBooking:
      Book(world_, entry, absl::StrCat("booking-", number), "");
      break;
    case StepKind::kKeyedBooking: {
      std::string key = absl::StrCat("key-", step.b % kKeys);
      Book(world_, entry, "booking of " + key, key);
      break;
    }
    case StepKind::kCheck:
      CheckBooking(world_, entry, absl::StrCat("check-", number));
      break;
    default:
      if (number > 1) world_.GoAway(1 + step.b % (number - 1));
      break;
  }
}

void Harness::Operators(const Step& step) {
  size_t entry = step.a % world_.entry_count();
  std::string server = absl::StrCat("d", step.b % 2);
  switch (step.kind) {
    case StepKind::kPatch:
      Patch(entry, Head(),
            absl::StrCat(R"({"limits":{"retry_percent":)", step.b % 50, "}}"));
      break;
    case StepKind::kRacingPatches:
      for (size_t it = 0; it < world_.entry_count(); ++it) {
        Patch(it, Head(),
              absl::StrCat(R"({"limits":{"hedge_percent":)", (step.b + it) % 50,
                           "}}"));
      }
      break;
    case StepKind::kDrain:
      Patch(entry, Head(), DrainPatch(server, "decode", true));
      break;
    case StepKind::kUndrain:
      Patch(entry, Head(), DrainPatch(server, "decode", false));
      break;
    case StepKind::kRetreat: {
      VersionRequest request;
      request.kind = VersionRequestKind::kRetreat;
      request.base = VersionNumber(Head());
      request.target =
          VersionNumber(1 + step.b % std::max<uint64_t>(1, Head()));
      request.patch_id = PatchId(absl::StrCat("patch-", next_patch_++));
      request.author = "fuzz";
      request.reason = "retreat";
      request.force = true;
      world_.Submit(entry, std::move(request));
      break;
    }
    default:
      // Moves a decode server to the prefill pool and back: a change of role.
      Patch(entry, Head(),
            step.b % 2 == 0 ? R"({"pools":{"decode":{"servers":{"d1":null}},
                      "prefill":{"servers":{"d1":{}}}}})"
                            : R"({"pools":{"prefill":{"servers":{"d1":null}},
                      "decode":{"servers":{"d1":{}}}}})");
      break;
  }
}

void Harness::Processes(const Step& step) {
  size_t entry = step.a % world_.entry_count();
  size_t agent = step.a % world_.agent_count();
  absl::Duration pause = absl::Milliseconds(100 + step.b % 6000);
  switch (step.kind) {
    case StepKind::kCrashEntry:
      world_.CrashEntry(entry);
      break;
    case StepKind::kCrashAgent:
      world_.CrashAgent(agent);
      break;
    case StepKind::kStopAgent:
      if (world_.agent(agent) == nullptr) break;
      world_.StopAgent(agent);
      break;
    case StepKind::kPauseEntry:
      world_.PauseEntry(entry, pause);
      oracle_.NoteEntryPause(entry);
      break;
    case StepKind::kPauseAgent:
      world_.PauseAgent(agent, pause);
      oracle_.NoteAgentPause(agent, world_.now() + pause);
      break;
    default:
      for (size_t it = 0; it < world_.entry_count(); ++it) {
        world_.RestartEntry(it);
      }
      for (size_t it = 0; it < world_.agent_count(); ++it) {
        bool drained =
            world_.agent(it) != nullptr && world_.AgentDrainedSeen(it);
        if (drained) world_.CrashAgent(it);  // a drained process exits
        if (world_.agent(it) == nullptr) oracle_.NoteAgentRestart(it);
        world_.RestartAgent(it);
      }
      break;
  }
}

void Harness::Connections(const Step& step) {
  size_t entry = step.a % world_.entry_count();
  size_t agent = step.b % world_.agent_count();
  switch (step.kind) {
    case StepKind::kSilenceLink:
      world_.SilenceLink(entry, agent);
      break;
    case StepKind::kCutLink:
      world_.CutLink(entry, agent, world_.now() + absl::Seconds(4));
      break;
    case StepKind::kLossOn:
      world_.SetLoss(0.01 * (step.a % 20), 0.01 * (step.b % 20),
                     step.b % 2 == 1);
      break;
    default:
      world_.SetLoss(0, 0, false);
      break;
  }
}

void Harness::Platform(const Step& step) {
  size_t agent = step.a % world_.agent_count();
  StoreFaults& store = world_.store_faults();
  switch (step.kind) {
    case StepKind::kStoreDown:
      store.down = true;
      break;
    case StepKind::kStoreLosesAnswers:
      store.loses_answers = true;
      break;
    case StepKind::kStoreSlow:
      store.extra_delay = absl::Milliseconds(step.b % 800);
      break;
    case StepKind::kStoreHealed:
      store = StoreFaults{};
      break;
    case StepKind::kCrashEngine:
      world_.engine(agent).Crash();
      break;
    default:
      world_.engine(agent).SlowDown(2 + step.b % 8,
                                    world_.now() + absl::Seconds(2));
      break;
  }
}

}  // namespace chervilwick
