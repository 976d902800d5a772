// Days that the project measures itself by.

#include "chervilwick/emulator/day.h"

namespace chervilwick {

const std::vector<std::string>& DayNames() {
  static const auto& names = *new std::vector<std::string>{
      "calm", "surge", "crash", "slow", "lossy", "drain"};
  return names;
}

DayOptions NamedDay(const std::string& name) {
  DayOptions day;
  day.name.clear();
  for (const std::string& it : DayNames()) {
    if (it == name) day.name = name;
  }
  if (name == "calm") return day;
  day.requests_per_second = 14;
  // Twice the demand, and more than the engines' speed for a while.
  day.surges = {{absl::Seconds(14), absl::Seconds(20)},
                {absl::Seconds(20), absl::Seconds(8), absl::Seconds(1), 1.7}};
  if (name == "crash") {
    day.faults = {EngineCrash{3, absl::Seconds(17), absl::Seconds(5)},
                  EngineCrash{7, absl::Seconds(19), absl::Seconds(6)},
                  EngineCrash{0, absl::Seconds(22), absl::Seconds(4)}};
  } else if (name == "slow") {
    day.faults = {EngineSlow{5, absl::Seconds(15), absl::Seconds(12), 3},
                  EngineSlow{1, absl::Seconds(18), absl::Seconds(8), 3}};
  } else if (name == "lossy") {
    day.faults = {LostAnswers{absl::Seconds(12), absl::Seconds(20), 0.15}};
  } else if (name == "drain") {
    day.faults = {EngineDrain{4, absl::Seconds(16)},
                  EngineDrain{8, absl::Seconds(18)}};
  }
  return day;
}

}  // namespace chervilwick
