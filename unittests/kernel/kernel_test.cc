// Services, timers and the pump.

#include "chervilwick/kernel/kernel.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <memory>
#include <string>
#include <vector>

#include "chervilwick/kernel/event_queue.h"
#include "chervilwick/kernel/timer_service.h"

namespace chervilwick {
namespace {

class MockService : public Service {
 public:
  MAKE_MOCK0(Start, void(), override);
  MAKE_MOCK0(Stop, void(), override);
  MAKE_MOCK1(RunOnce, bool(absl::Time), override);
};

TEST_CASE("services start in order and stop in reverse", "[kernel]") {
  Kernel kernel;
  MockService* a = kernel.Register("a", std::make_unique<MockService>());
  MockService* b = kernel.Register("b", std::make_unique<MockService>());
  trompeloeil::sequence order;
  REQUIRE_CALL(*a, Start()).IN_SEQUENCE(order);
  REQUIRE_CALL(*b, Start()).IN_SEQUENCE(order);
  REQUIRE_CALL(*b, Stop()).IN_SEQUENCE(order);
  REQUIRE_CALL(*a, Stop()).IN_SEQUENCE(order);
  kernel.StartAll();
  kernel.StopAll();
}

TEST_CASE("services find each other by name and type", "[kernel]") {
  Kernel kernel;
  MockService* a = kernel.Register("a", std::make_unique<MockService>());
  CHECK(kernel.Find<MockService>("a") == a);
  CHECK(kernel.Find<TimerService>("a") == nullptr);
  CHECK(kernel.Find<MockService>("b") == nullptr);
}

TEST_CASE("timers run by virtual time in the pump", "[kernel]") {
  Kernel kernel;
  auto* timers = kernel.Register("timers", std::make_unique<TimerService>());
  int fast = 0;
  int slow = 0;
  timers->Subscribe(absl::Seconds(1), [&](absl::Time) { ++fast; });
  timers->Subscribe(absl::Seconds(5), [&](absl::Time) { ++slow; });
  absl::Time now = absl::UnixEpoch();
  for (int it = 0; it <= 10; ++it) kernel.PumpOnce(now + absl::Seconds(it));
  CHECK(fast == 11);
  CHECK(slow == 3);
  CHECK_FALSE(kernel.PumpOnce(now + absl::Seconds(10)));
}

TEST_CASE("events come in order of their time, then of their making",
          "[kernel]") {
  EventQueue queue;
  absl::Time start = queue.now();
  std::string order;
  queue.After(absl::Seconds(2), [&] { order += 'c'; });
  queue.After(absl::Seconds(1), [&] {
    order += 'a';
    queue.After(absl::Seconds(-1), [&] { order += 'b'; });
  });
  queue.After(absl::Seconds(2), [&] { order += 'd'; });
  queue.RunUntil(start + absl::Seconds(2));
  CHECK(order == "abcd");
}

}  // namespace
}  // namespace chervilwick
