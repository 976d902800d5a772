// One emulated day: demand, faults, and what clients got.

#ifndef CHERVILWICK_EMULATOR_DAY_H_
#define CHERVILWICK_EMULATOR_DAY_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/emulator/engine_model.h"
#include "chervilwick/emulator/front_model.h"

namespace chervilwick {

// Demand is multiplied by `factor` for a while; it rises within `rise`.
struct DemandSurge {
  absl::Duration start;
  absl::Duration length;
  absl::Duration rise = absl::Milliseconds(500);
  double factor = 2;
};

// ---- What befalls an engine ----

struct EngineCrash {
  size_t engine = 0;  // counted over all engines, prefill engines first
  absl::Duration at;
  absl::Duration length;
};
struct EngineSlow {
  size_t engine = 0;
  absl::Duration at;
  absl::Duration length;
  double factor = 3;
};
// Discovery says that it leaves; it goes once it is empty.
struct EngineDrain {
  size_t engine = 0;
  absl::Duration at;
};
// Engines lose that share of their answers.
struct LostAnswers {
  absl::Duration at;
  absl::Duration length;
  double share = 0.2;
};
using EngineFault =
    std::variant<EngineCrash, EngineSlow, EngineDrain, LostAnswers>;

struct DayOptions {
  std::string name = "calm";
  FrontModelOptions front;
  uint32_t fronts = 4;
  uint32_t prefill_engines = 3;
  uint32_t decode_engines = 9;
  // Fronts tell each other of their use that often.
  absl::Duration exchange_interval = absl::Milliseconds(50);
  absl::Duration length = absl::Seconds(60);
  double requests_per_second = 12;
  std::vector<DemandSurge> surges;
  std::vector<EngineFault> faults;
  // Requests come together, at multiples of that time; zero: one by one.
  absl::Duration arrival_interval = absl::ZeroDuration();
  // Means of what clients ask for; sizes vary by a factor of two either way.
  int64_t prompt_tokens = 3085;
  int64_t output_tokens = 800;
  double resumable_share = 0.3;
  double urgent_share = 0.2;
  absl::Duration objective = absl::Milliseconds(900);
  absl::Duration pause_objective = absl::Milliseconds(300);
  // Times that a client comes back after a refusal.
  uint32_t returns = 1;
  uint64_t seed = 1;
};

// Requests by how they ended; one counts once, by its last try.
struct DayCounts {
  uint64_t asked = 0;
  uint64_t on_time = 0;  // whole, first event and pauses within the objectives
  uint64_t late = 0;     // whole, but not on time or only after a refusal
  uint64_t late_came_back = 0;  // of those, after a refusal
  uint64_t late_began = 0;      // of the others, the first event came late
  uint64_t refused = 0;
  uint64_t failed = 0;  // failed or cut
  uint64_t left = 0;

  uint64_t Ended() const { return on_time + late + refused + failed + left; }
};

// Means over one second.
struct DaySample {
  double asked = 0;    // requests that arrived in it
  double on_time = 0;  // of those, answered on time
  double ideal = 0;    // of those, the most that any router could answer so
  double waiting = 0;  // streams that wait at fronts
  double memory = 0;   // share of the decoding engines' memory in use
};

struct DayReport {
  DayCounts counts;
  // Upper bound of `on_time`: a fluid of equal streams over the engines that
  // are up, served by due time.
  double ideal = 0;
  absl::Duration first_event_p50;
  absl::Duration first_event_p99;
  uint64_t tries = 0;  // requests as fronts saw them
  uint64_t repeats = 0;
  uint64_t preemptions = 0;
  uint64_t prompts_wasted = 0;     // read for no run
  std::vector<DaySample> samples;  // by second

  // ---- Broken invariants; empty on a sound day ----
  std::vector<std::string> violations;
};

// Plays a day; the same options give the same report.
DayReport PlayDay(const DayOptions& options);

// Days that the project measures itself by: "calm", "surge" (demand doubles
// within half a second), "crash" (engines fail during a surge), "slow", "lossy"
// and "drain". Empty name if there is none of that name.
DayOptions NamedDay(const std::string& name);
const std::vector<std::string>& DayNames();

}  // namespace chervilwick

#endif  // CHERVILWICK_EMULATOR_DAY_H_
