// Behaviour of entries and agents under single injected faults.

#include <catch2/catch.hpp>
#include <utility>

#include "test_worlds.h"

namespace chervilwick {
namespace {

const RequestOutcome& OutcomeOf(World& world, uint64_t number) {
  const ClientRecord& client = world.clients().at(number);
  REQUIRE(client.outcomes.size() == 1);
  return client.outcomes.front();
}

void CheckCompleteAnswer(World& world, uint64_t number) {
  CHECK(OutcomeOf(world, number).run == RunState::kDone);
  const ClientRecord& client = world.clients().at(number);
  CHECK(client.tokens == ExpectedAnswer(client.prompt));
}

// Index of the decode agent with running work.
size_t BusyDecodeAgent(World& world) {
  return world.engine(2).running() > 0 ? 2 : 3;
}

TEST_CASE("a stream resumes on another agent after its agent crashes",
          "[faults]") {
  World world(SmallWorld(11));
  AcceptSetup(world);
  uint64_t number = AskFor(world, 0, 1, 60);
  world.RunFor(absl::Milliseconds(900));
  REQUIRE(world.clients().at(number).tokens.size() > 5);
  world.CrashAgent(BusyDecodeAgent(world));
  world.RunFor(absl::Seconds(6));
  CheckCompleteAnswer(world, number);
  CHECK(world.entry(0)->stats().resumed_streams == 1);
}

TEST_CASE("a stream survives a silent connection to its agent", "[faults]") {
  World world(SmallWorld(12));
  AcceptSetup(world);
  uint64_t number = AskFor(world, 0, 1, 200);
  world.RunFor(absl::Milliseconds(900));
  world.SilenceLink(0, BusyDecodeAgent(world));
  world.RunFor(absl::Seconds(12));
  CheckCompleteAnswer(world, number);
}

TEST_CASE("streams lose no tokens when messages are lost or reordered",
          "[faults]") {
  for (uint64_t seed = 100; seed < 120; ++seed) {
    World world(SmallWorld(seed));
    AcceptSetup(world);
    std::vector<uint64_t> numbers = PlayLossyStreams(world, seed % 2 == 0);
    for (uint64_t it : numbers) CheckCompleteAnswer(world, it);
  }
}

TEST_CASE("a graceful agent stop interrupts no request", "[faults]") {
  World world(SmallWorld(13));
  AcceptSetup(world);
  std::vector<uint64_t> numbers;
  for (uint64_t it = 1; it <= 8; ++it) {
    numbers.push_back(AskFor(world, it % 2, it, 150));
  }
  uint64_t booking = Book(world, 0, "house 1", "");
  world.RunFor(absl::Milliseconds(700));
  for (size_t it = 0; it < world.agent_count(); it += 2) world.StopAgent(it);
  for (int it = 0; it < 60; ++it) {
    world.RunFor(absl::Milliseconds(100));
    for (size_t agent = 0; agent < world.agent_count(); agent += 2) {
      // A drained process exits.
      bool exits =
          world.agent(agent) != nullptr && world.AgentDrainedSeen(agent);
      if (exits) world.CrashAgent(agent);
    }
  }
  for (uint64_t it : numbers) CheckCompleteAnswer(world, it);
  CHECK(OutcomeOf(world, booking).run == RunState::kDone);
  CHECK(world.entry(0)->stats().retries == 0);
  CHECK(world.entry(1)->stats().retries == 0);
  CHECK(world.agent(0) == nullptr);
}

TEST_CASE("a graceful entry stop interrupts no request", "[faults]") {
  World world(SmallWorld(14));
  AcceptSetup(world);
  uint64_t number = AskFor(world, 0, 1, 60);
  world.RunFor(absl::Milliseconds(500));
  world.StopEntry(0);
  uint64_t late = AskFor(world, 0, 2, 5);
  world.RunFor(absl::Milliseconds(50));
  CHECK(OutcomeOf(world, late).code == "stopping");
  CHECK_FALSE(world.EntryDrainedSeen(0));
  world.RunFor(absl::Seconds(4));
  CheckCompleteAnswer(world, number);
  CHECK(world.EntryDrainedSeen(0));
}

TEST_CASE("a client disconnect releases the engine memory", "[faults]") {
  World world(SmallWorld(15));
  AcceptSetup(world);
  uint64_t number = AskFor(world, 0, 1, 500);
  world.RunFor(absl::Seconds(1));
  size_t busy = BusyDecodeAgent(world);
  REQUIRE(world.agent(busy)->pieces_held() > 0);
  world.GoAway(number);
  world.RunFor(absl::Milliseconds(200));
  CHECK(world.agent(busy)->pieces_held() == 0);
  CHECK(world.engine(busy).running() == 0);
}

TEST_CASE("work of a crashed entry is cancelled", "[faults]") {
  World world(SmallWorld(16));
  AcceptSetup(world);
  AskFor(world, 0, 1, 5000);
  world.RunFor(absl::Seconds(1));
  size_t busy = BusyDecodeAgent(world);
  world.CrashEntry(0);
  world.RunFor(absl::Seconds(4));
  CHECK(world.engine(busy).running() == 0);
}

TEST_CASE("a keyed booking is refused while the store is down", "[faults]") {
  World world(SmallWorld(17));
  AcceptSetup(world);
  world.store_faults().down = true;
  uint64_t keyed = Book(world, 0, "house 1", "key");
  uint64_t plain = Book(world, 0, "house 2", "");
  world.RunFor(absl::Seconds(3));
  CHECK(OutcomeOf(world, keyed).run == RunState::kNotRun);
  CHECK(OutcomeOf(world, keyed).code == "store_unreachable");
  CHECK(PlainRuns(world, "house 1") == 0);
  CHECK(OutcomeOf(world, plain).run == RunState::kDone);
  world.store_faults().down = false;
  uint64_t again = Book(world, 1, "house 1", "key");
  world.RunFor(absl::Seconds(5));
  CHECK(OutcomeOf(world, again).run == RunState::kDone);
  CHECK(PlainRuns(world, "house 1") == 1);
}

TEST_CASE("a booking repeated after an entry crash runs once", "[faults]") {
  World world(SmallWorld(18));
  AcceptSetup(world);
  Book(world, 0, "house 1", "key");
  world.RunFor(absl::Milliseconds(15));
  world.CrashEntry(0);
  uint64_t again = Book(world, 1, "house 1", "key");
  world.RunFor(absl::Seconds(6));
  CHECK(OutcomeOf(world, again).run == RunState::kDone);
  CHECK(PlainRuns(world, "house 1") == 1);
}

TEST_CASE("a reused key with a different body is refused", "[faults]") {
  World world(SmallWorld(19));
  AcceptSetup(world);
  Book(world, 0, "house 1", "key");
  world.RunFor(absl::Seconds(1));
  uint64_t other = Book(world, 1, "house 2", "key");
  world.RunFor(absl::Seconds(1));
  CHECK(OutcomeOf(world, other).code == "key_reused");
  CHECK(PlainRuns(world, "house 2") == 0);
}

TEST_CASE("a booking whose agent crashes has an unknown outcome", "[faults]") {
  World world(SmallWorld(20));
  AcceptSetup(world);
  uint64_t number = Book(world, 0, "house 1", "");
  world.RunFor(absl::Milliseconds(8));
  REQUIRE(PlainRuns(world, "house 1") == 1);
  world.CrashAgent(4);
  world.CrashAgent(5);
  world.RunFor(absl::Milliseconds(300));
  world.RestartAgent(4);
  world.RestartAgent(5);
  world.RunFor(absl::Seconds(7));
  CHECK(OutcomeOf(world, number).run == RunState::kUnknown);
  CHECK(PlainRuns(world, "house 1") == 1);
}

// Found by fuzzing: a late release left a record at the restarted agent, from
// which a fence reported that the booking had never run (see agent_test.cc).
TEST_CASE("a repeated key does not rerun a crashed agent's booking",
          "[faults]") {
  WorldOptions options = SmallWorld(0);
  for (WorldAgentSpec& it : options.agents) {
    it.engine.call_time = absl::Milliseconds(400);
  }
  World world(std::move(options));
  AcceptSetup(world);
  Book(world, 0, "house 1", "key");
  world.RunFor(absl::Milliseconds(20));
  REQUIRE(PlainRuns(world, "house 1") == 1);
  for (size_t it : {4, 5}) world.CrashAgent(it);
  uint64_t again = Book(world, 1, "house 1", "key");
  for (size_t it : {4, 5}) world.RestartAgent(it);
  world.RunFor(absl::Seconds(12));
  CHECK(PlainRuns(world, "house 1") == 1);
  CHECK(OutcomeOf(world, again).run != RunState::kDone);
}

TEST_CASE("a resumed entry runs nothing on a server drained meanwhile",
          "[faults]") {
  World world(SmallWorld(21));
  AcceptSetup(world);
  world.PauseEntry(1, absl::Seconds(6));
  uint64_t patch = SubmitPatch(
      world, 0, 1,
      R"({"pools":{"decode":{"servers":{"d1":{"drained":true}}}}})", "drain");
  world.RunFor(absl::Seconds(5));
  REQUIRE(VerdictOf(world, patch)->outcome == VersionOutcome::kAccepted);
  std::vector<uint64_t> numbers;
  for (uint64_t it = 1; it <= 6; ++it) {
    numbers.push_back(AskFor(world, 1, it, 5));
  }
  world.RunFor(absl::Seconds(6));
  for (uint64_t it : numbers) CheckCompleteAnswer(world, it);
  CHECK(world.engine(3).log().model_runs.empty());
  CHECK(world.entry(1)->config().number() == VersionNumber(2));
}

TEST_CASE("one of two concurrent patches is refused as stale", "[faults]") {
  World world(SmallWorld(22));
  AcceptSetup(world);
  uint64_t a =
      SubmitPatch(world, 0, 1, R"({"limits":{"retry_percent":1}})", "a");
  uint64_t b =
      SubmitPatch(world, 1, 1, R"({"limits":{"retry_percent":2}})", "b");
  world.RunFor(absl::Seconds(2));
  const VersionResult& first = *VerdictOf(world, a);
  const VersionResult& second = *VerdictOf(world, b);
  bool a_won = first.outcome == VersionOutcome::kAccepted;
  const VersionResult& loser = a_won ? second : first;
  CHECK((first.outcome == VersionOutcome::kAccepted) !=
        (second.outcome == VersionOutcome::kAccepted));
  CHECK(loser.code == "stale_base");
  CHECK(loser.number == VersionNumber(2));
  CHECK(loser.conflicts == std::vector<std::string>{"/limits/retry_percent"});
}

TEST_CASE("a patch id resolves an unknown outcome on retry", "[faults]") {
  World world(SmallWorld(23));
  AcceptSetup(world);
  const char* patch = R"({"limits":{"retry_percent":1}})";
  world.store_faults().loses_answers = true;
  uint64_t lost = SubmitPatch(world, 0, 1, patch, "lost");
  world.RunFor(absl::Seconds(8));
  CHECK(VerdictOf(world, lost)->outcome == VersionOutcome::kUnknown);
  world.store_faults().loses_answers = false;
  uint64_t again = SubmitPatch(world, 1, 1, patch, "lost");
  world.RunFor(absl::Seconds(2));
  CHECK(VerdictOf(world, again)->outcome == VersionOutcome::kAccepted);
  CHECK(VerdictOf(world, again)->number == VersionNumber(2));
}

TEST_CASE("a patch is accepted after temporary response loss", "[faults]") {
  World world(SmallWorld(29));
  AcceptSetup(world);
  world.store_faults().loses_answers = true;
  uint64_t lost =
      SubmitPatch(world, 0, 1, R"({"limits":{"retry_percent":1}})", "lost");
  world.RunFor(absl::Milliseconds(400));
  CHECK(VerdictOf(world, lost) == nullptr);
  world.store_faults().loses_answers = false;
  world.RunFor(absl::Seconds(2));
  REQUIRE(VerdictOf(world, lost) != nullptr);
  CHECK(VerdictOf(world, lost)->outcome == VersionOutcome::kAccepted);
}

TEST_CASE("a restarted process gets the version from a peer", "[faults]") {
  World world(SmallWorld(24));
  AcceptSetup(world);
  world.store_faults().down = true;
  world.CrashEntry(1);
  world.CrashAgent(2);
  world.RunFor(absl::Seconds(1));
  world.RestartEntry(1);
  world.RestartAgent(2);
  world.RunFor(absl::Seconds(3));
  CHECK(world.entry(1)->config().number() == VersionNumber(1));
  CHECK(world.agent(2)->config().number() == VersionNumber(1));
  uint64_t number = AskFor(world, 1, 1, 5);
  world.RunFor(absl::Seconds(3));
  CheckCompleteAnswer(world, number);
}

TEST_CASE("a version that leaves a route without servers is refused",
          "[faults]") {
  World world(SmallWorld(25));
  AcceptSetup(world);
  uint64_t patch =
      SubmitPatch(world, 0, 1,
                  R"({"pools":{"decode":{"servers":{"d0":{"drained":true},
          "d1":{"drained":true}}}}})",
                  "dead");
  world.RunFor(absl::Seconds(1));
  CHECK(VerdictOf(world, patch)->code == "dead_route");
}

TEST_CASE("quarantine affects only the request that crashes engines",
          "[faults]") {
  World world(SmallWorld(26));
  AcceptSetup(world);
  std::vector<uint64_t> others;
  uint64_t poison = 0;
  for (uint64_t round = 0; round < 3; ++round) {
    for (uint64_t it = 0; it < 3; ++it) {
      others.push_back(AskFor(world, it % 2, 100 * (round + 1) + it, 40));
    }
    ClientStream request;
    request.client = ClientName("sender");
    request.model = ModelName("model");
    request.prompt = "POISON";
    request.prompt_tokens = 500;
    request.max_tokens = 5;
    poison = world.AskStream(0, std::move(request));
    world.RunFor(absl::Seconds(8));
  }
  CHECK(OutcomeOf(world, poison).code == "quarantined");
  for (uint64_t it : others) {
    CHECK(OutcomeOf(world, it).code != "quarantined");
  }
}

TEST_CASE("a role change drains first and fails no request", "[faults]") {
  World world(SmallWorld(27));
  AcceptSetup(world);
  std::vector<uint64_t> numbers;
  for (uint64_t it = 1; it <= 6; ++it) {
    numbers.push_back(AskFor(world, it % 2, it, 80));
  }
  world.RunFor(absl::Seconds(1));
  SubmitPatch(world, 0, 1,
              R"({"pools":{"decode":{"servers":{"d1":null}},
                  "prefill":{"servers":{"d1":{}}}}})",
              "role");
  world.RunFor(absl::Seconds(8));
  for (uint64_t it : numbers) CheckCompleteAnswer(world, it);
  CHECK(world.engine(3).options().role == PoolRole::kPrefill);
  CHECK(world.entry(0)->stats().retries + world.entry(1)->stats().retries == 0);
}

TEST_CASE("store reads do not grow with the number of entries", "[faults]") {
  auto calls_of = [](size_t entries) {
    WorldOptions options = SmallWorld(28);
    options.entry_zones.assign(entries, ZoneName("a"));
    World world(options);
    AcceptSetup(world);
    world.RunFor(absl::Seconds(3));
    uint64_t before = world.store().reads();
    world.RunFor(absl::Seconds(20));
    return world.store().reads() - before;
  };
  uint64_t few = calls_of(4);
  uint64_t many = calls_of(16);
  CHECK(many <= few + 4);
}

}  // namespace
}  // namespace chervilwick
