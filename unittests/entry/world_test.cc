// Tests of requests through entries and agents in virtual time.

#include "chervilwick/testbed/world.h"

#include <malloc.h>

#include <catch2/catch.hpp>
#include <vector>

#include "test_worlds.h"

namespace chervilwick {
namespace {

TEST_CASE("a stream delivers its complete output and one outcome", "[entry]") {
  World world(SmallWorld(1));
  AcceptSetup(world);
  uint64_t number = AskFor(world, 0, 7, 20);
  world.RunFor(absl::Seconds(3));
  const ClientRecord& client = world.clients().at(number);
  REQUIRE(client.outcomes.size() == 1);
  CHECK(client.outcomes[0].run == RunState::kDone);
  CHECK(client.outcomes[0].finish_reason == "stop");
  CHECK(client.tokens == ExpectedAnswer(client.prompt));
}

TEST_CASE(
    "a call with an idempotency key runs once and is answered by any entry",
    "[entry]") {
  World world(SmallWorld(2));
  AcceptSetup(world);
  uint64_t first = Book(world, 0, "house 12", "key-1");
  world.RunFor(absl::Seconds(1));
  uint64_t second = Book(world, 1, "house 12", "key-1");
  world.RunFor(absl::Seconds(1));
  const ClientRecord& a = world.clients().at(first);
  const ClientRecord& b = world.clients().at(second);
  REQUIRE(a.outcomes.size() == 1);
  REQUIRE(b.outcomes.size() == 1);
  CHECK(a.outcomes[0].run == RunState::kDone);
  CHECK(b.outcomes[0].body == a.outcomes[0].body);
  CHECK(PlainRuns(world, "house 12") == 1);
}

// Found by fuzzing: the agent that ran the call was lost, no other agent was
// available, and the call was reported as not run.
TEST_CASE("a call that may have run is not reported as not run", "[entry]") {
  World world(SmallWorld(3));
  AcceptSetup(world);
  world.StopAgent(5);
  world.RunFor(absl::Milliseconds(100));
  uint64_t number = CheckBooking(world, 0, "check");
  world.RunFor(absl::Milliseconds(5));
  world.PauseAgent(4, absl::Seconds(20));
  world.RunFor(absl::Seconds(8));
  const ClientRecord& client = world.clients().at(number);
  REQUIRE(client.outcomes.size() == 1);
  CHECK(PlainRuns(world, "check") == 1);
  CHECK(client.outcomes[0].run == RunState::kFailed);
}

// Overwrites freed memory, so that a use after free is detected without a
// sanitizer.
class PerturbFreedMemory {
 public:
  PerturbFreedMemory() { mallopt(M_PERTURB, kPattern); }
  ~PerturbFreedMemory() { mallopt(M_PERTURB, 0); }

 private:
  static constexpr int kPattern = 0xa5;
};

// Found by AddressSanitizer: delivering a piece also delivered later pieces
// that were held back, and their end destroyed the request while the delivery
// of the first piece still used it.
TEST_CASE("a request that ends during delivery is not used after free",
          "[entry]") {
  PerturbFreedMemory perturb;
  for (uint64_t seed = 100; seed < 120; ++seed) {
    World world(SmallWorld(seed));
    AcceptSetup(world);
    std::vector<uint64_t> numbers = PlayLossyStreams(world, seed % 2 == 0);
    for (uint64_t it : numbers) {
      const ClientRecord& client = world.clients().at(it);
      REQUIRE(client.outcomes.size() == 1);
      CHECK(client.tokens == ExpectedAnswer(client.prompt));
    }
    uint64_t completed = 0;
    for (size_t it = 0; it < 2; ++it) {
      completed += world.entry(it)->stats().completed_requests;
    }
    CHECK(completed == numbers.size());
  }
}

}  // namespace
}  // namespace chervilwick
