// Emulated days: what callers get by the product's decisions, and what must
// hold on any day.

#include "chervilwick/emulator/day.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_join.h"

namespace chervilwick {
namespace {

// Short, so that many can be played.
DayOptions ShortDay() {
  DayOptions day = NamedDay("surge");
  day.length = absl::Seconds(12);
  day.surges = {{absl::Seconds(3), absl::Seconds(6)}};
  return day;
}

void CheckSound(const DayReport& report) {
  INFO(absl::StrJoin(report.violations, "; "));
  CHECK(report.violations.empty());
}

uint64_t OnTime(DayOptions day, FrontPolicy policy) {
  day.front.policy = policy;
  DayReport report = PlayDay(day);
  CheckSound(report);
  return report.counts.on_time;
}

TEST_CASE("names of days are known", "[emulator]") {
  for (const std::string& it : DayNames()) CHECK(NamedDay(it).name == it);
  CHECK(NamedDay("no such day").name.empty());
}

TEST_CASE("a calm day is served whole and on time", "[emulator]") {
  DayReport report = PlayDay(NamedDay("calm"));
  CheckSound(report);
  CHECK(report.counts.on_time == report.counts.asked);
  CHECK(report.counts.asked > 500);
  CHECK(report.repeats == 0);
}

TEST_CASE("the same day gives the same report", "[emulator]") {
  DayOptions day = ShortDay();
  DayReport a = PlayDay(day);
  DayReport b = PlayDay(day);
  CHECK(a.counts.on_time == b.counts.on_time);
  CHECK(a.first_event_p99 == b.first_event_p99);
  day.seed = 2;
  CHECK(PlayDay(day).counts.asked != a.counts.asked);
}

// Callers are asked for the same whatever the policy: more of them are served
// on time than by any router that only balances.
TEST_CASE("more callers are served on time than by balancing alone",
          "[emulator]") {
  for (const char* name : {"surge", "crash", "slow", "lossy", "drain"}) {
    DayOptions day = NamedDay(name);
    uint64_t ours = OnTime(day, FrontPolicy::kDispatch);
    INFO(name);
    CHECK(ours > OnTime(day, FrontPolicy::kRoundRobin));
    CHECK(ours > OnTime(day, FrontPolicy::kLeastRequests));
    CHECK(ours > OnTime(day, FrontPolicy::kTwoChoices));
  }
}

TEST_CASE("nobody serves more than the ideal server", "[emulator]") {
  for (const char* name : {"surge", "crash", "drain"}) {
    DayReport report = PlayDay(NamedDay(name));
    INFO(name);
    CHECK(static_cast<double>(report.counts.on_time) <= report.ideal);
    CHECK(report.ideal <= static_cast<double>(report.counts.asked) + 1);
  }
}

// As many fronts and engines as a grown site has.
DayOptions ManyFronts() {
  DayOptions day = ShortDay();
  day.fronts = 12;
  day.prefill_engines = 14;
  day.decode_engines = 41;
  day.requests_per_second = 60;
  day.front.engine.memory_tokens = 28000;
  return day;
}

// Many fronts that see the same free place give it away together, unless each
// tells the others at once: a prompt read for a place that is gone is lost.
TEST_CASE("fronts that tell at once read fewer prompts in vain", "[emulator]") {
  DayOptions day = ManyFronts();
  DayReport told = PlayDay(day);
  day.front.announces = false;
  DayReport untold = PlayDay(day);
  CheckSound(told);
  CHECK(2 * told.prompts_wasted < untold.prompts_wasted);
  CHECK(told.counts.on_time > untold.counts.on_time);
}

// Without word of what others use, engines are filled twice over.
TEST_CASE("fronts that hear of each other's use refuse less", "[emulator]") {
  DayOptions day = ManyFronts();
  day.front.announces = false;
  DayReport heard = PlayDay(day);
  day.exchange_interval = absl::Minutes(10);
  DayReport unheard = PlayDay(day);
  CHECK(heard.counts.on_time > unheard.counts.on_time);
  CHECK(heard.repeats < unheard.repeats);
}

EngineFault DrawFault(const std::pair<int, int>& drawn, size_t engines) {
  auto engine = static_cast<size_t>(drawn.first) % engines;
  absl::Duration at = absl::Milliseconds(drawn.second % 10000);
  absl::Duration length = absl::Milliseconds(400 + drawn.second % 4000);
  switch (drawn.first % 4) {
    case 0:
      return EngineCrash{engine, at, length};
    case 1:
      return EngineSlow{engine, at, length, 2.0 + drawn.second % 5};
    case 2:
      return EngineDrain{engine, at};
    default:
      return LostAnswers{at, length, 0.3};
  }
}

// Each request ends once; nothing is held afterwards; what was refused as not
// run never ran; repeated sends stay within the fleet's budget.
TEST_CASE("every day is sound, whatever befalls engines", "[emulator]") {
  rc::prop("random faults", [] {
    DayOptions day = ShortDay();
    day.fronts = *rc::gen::inRange(1, 5);
    day.prefill_engines = *rc::gen::inRange(1, 3);
    day.decode_engines = *rc::gen::inRange(1, 5);
    day.requests_per_second = *rc::gen::inRange(2, 25);
    day.seed = *rc::gen::inRange(1, 1000000);
    auto drawn = *rc::gen::container<std::vector<std::pair<int, int>>>(
        *rc::gen::inRange(0, 7),
        rc::gen::pair(rc::gen::inRange(0, 1000), rc::gen::inRange(0, 100000)));
    for (const auto& it : drawn) {
      day.faults.push_back(
          DrawFault(it, day.prefill_engines + day.decode_engines));
    }
    DayReport report = PlayDay(day);
    RC_ASSERT(report.violations.empty());
  });
}

}  // namespace
}  // namespace chervilwick
