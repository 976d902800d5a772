// Drawn cases that once broke an invariant, with their causes.

#include <catch2/catch.hpp>
#include <vector>

#include "harness.h"

namespace chervilwick {
namespace {

std::string Replay(uint32_t seed, const std::vector<Step>& steps) {
  Harness harness(seed);
  for (const Step& it : steps) {
    std::string violation = harness.Apply(it);
    if (!violation.empty()) return violation;
  }
  return harness.Finish();
}

// A short pause inside a longer one woke the entry while the client's leaving
// still waited for the end of the longer one: a fault of the test world.
// Test 59 of RC_PARAMS="seed=77112 max_success=100 max_size=60".
TEST_CASE("seed 77112: no engine runs a stream whose caller is gone",
          "[fuzz][regression]") {
  using K = StepKind;
  std::vector<Step> steps = {
      {K::kCrashEntry, 167, 2844, 106},   {K::kStream, 308, 3496, 50},
      {K::kPauseEntry, 6, 5332, 47},      {K::kPoison, 75, 4065, 54},
      {K::kGoAway, 247, 5434, 291},       {K::kCrashAgent, 437, 2011, 128},
      {K::kGoAway, 54, 1450, 263},        {K::kDrain, 62, 853, 143},
      {K::kBooking, 449, 5520, 86},       {K::kCheck, 363, 3849, 133},
      {K::kRacingPatches, 57, 4124, 438}, {K::kCrashAgent, 492, 3036, 453},
      {K::kPauseEntry, 355, 2983, 352},   {K::kCrashEntry, 579, 5429, 384},
      {K::kGoAway, 50, 5746, 18},         {K::kKeyedBooking, 196, 3346, 133},
      {K::kPauseEntry, 215, 419, 223},    {K::kCrashAgent, 515, 2171, 287},
      {K::kPauseEntry, 210, 337, 142},    {K::kPauseEntry, 283, 356, 274},
      {K::kRetreat, 450, 4765, 106},      {K::kStopAgent, 267, 3484, 367},
      {K::kRetreat, 156, 2433, 103},      {K::kCrashEntry, 242, 1644, 388},
      {K::kDrain, 494, 2610, 326},        {K::kSplitPools, 199, 5522, 313},
      {K::kGoAway, 210, 3154, 249},       {K::kPoison, 61, 5424, 298},
      {K::kKeyedBooking, 50, 4351, 102},  {K::kPatch, 545, 17, 247},
      {K::kDrain, 393, 3009, 100},        {K::kRacingPatches, 202, 876, 383}};
  CHECK(Replay(396926, steps) == "");
}

}  // namespace
}  // namespace chervilwick
