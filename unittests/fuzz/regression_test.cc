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
  std::string violation = Replay(396926, steps);
  INFO(violation);
  CHECK(violation.empty());
}

// A pause that was extended let the client's leaving overtake its request: a
// fault of the test world.
// Test 61 of RC_PARAMS="seed=424446 max_success=100 max_size=60".
TEST_CASE("seed 424446: no engine runs a stream whose caller is gone",
          "[fuzz][regression]") {
  using K = StepKind;
  std::vector<Step> steps = {
      {K::kRetreat, 395, 2096, 87},       {K::kPauseEntry, 201, 4646, 111},
      {K::kPauseEntry, 155, 1684, 293},   {K::kGoAway, 332, 4497, 62},
      {K::kPauseEntry, 256, 4020, 450},   {K::kStream, 355, 5126, 346},
      {K::kBooking, 128, 3549, 264},      {K::kPauseEntry, 573, 4449, 424},
      {K::kKeyedBooking, 107, 3351, 329}, {K::kStream, 345, 5454, 200},
      {K::kStream, 301, 886, 145},        {K::kCheck, 539, 2476, 398},
      {K::kStopAgent, 183, 4941, 346},    {K::kStream, 230, 568, 42},
      {K::kPauseEntry, 510, 3543, 210},   {K::kRetreat, 345, 948, 422},
      {K::kStream, 575, 5902, 130},       {K::kCrashAgent, 580, 5854, 139},
      {K::kCrashAgent, 21, 5786, 106},    {K::kGoAway, 469, 1104, 57},
      {K::kCrashEntry, 279, 685, 132},    {K::kPatch, 480, 1914, 332},
      {K::kKeyedBooking, 443, 1514, 4},   {K::kPatch, 505, 2900, 189},
      {K::kUndrain, 161, 4451, 42},       {K::kBooking, 599, 1638, 197},
      {K::kUndrain, 481, 1741, 153},      {K::kDrain, 235, 4379, 115},
      {K::kUndrain, 173, 1498, 255},      {K::kSplitPools, 134, 5711, 317},
      {K::kStopAgent, 595, 5454, 465},    {K::kRacingPatches, 335, 3935, 10},
      {K::kBooking, 426, 1936, 437},      {K::kPauseEntry, 7, 709, 99},
      {K::kStopAgent, 60, 400, 379},      {K::kPauseEntry, 124, 4954, 25},
      {K::kStream, 527, 322, 373},        {K::kCheck, 80, 498, 142},
      {K::kRestart, 43, 4642, 77},        {K::kBooking, 494, 1193, 462},
      {K::kUndrain, 525, 5204, 138},      {K::kUndrain, 83, 4042, 208},
      {K::kSplitPools, 463, 850, 438}};
  std::string violation = Replay(121071, steps);
  INFO(violation);
  CHECK(violation.empty());
}

}  // namespace
}  // namespace chervilwick
