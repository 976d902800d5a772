// World under fuzzing: applies drawn events and checks the oracle after each.

#ifndef CHERVILWICK_UNITTESTS_FUZZ_HARNESS_H_
#define CHERVILWICK_UNITTESTS_FUZZ_HARNESS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "chervilwick/testbed/world.h"
#include "oracle.h"

namespace chervilwick {

enum class StepKind : uint8_t {
  kStream,
  kPoison,
  kBooking,
  kKeyedBooking,
  kCheck,
  kGoAway,
  kPatch,
  kRacingPatches,
  kDrain,
  kUndrain,
  kRetreat,
  kSplitPools,
  kCrashEntry,
  kCrashAgent,
  kRestart,
  kStopAgent,
  kPauseEntry,
  kPauseAgent,
  kSilenceLink,
  kCutLink,
  kLossOn,
  kLossOff,
  kStoreDown,
  kStoreLosesAnswers,
  kStoreSlow,
  kStoreHealed,
  kCrashEngine,
  kSlowEngine,
  kCount
};

const char* StepName(StepKind kind);

// One drawn event. The numbers choose among what there is.
struct Step {
  StepKind kind = StepKind::kStream;
  uint32_t a = 0;
  uint32_t b = 0;
  uint32_t wait_ms = 0;  // time that passes after the event
};

class Harness {
 public:
  explicit Harness(uint64_t seed);

  // Returns a violation or "".
  std::string Apply(const Step& step);
  // Ends all faults, lets all deadlines pass and checks what holds then.
  std::string Finish();
  World& world() { return world_; }
  uint64_t executed() { return world_.events().executed(); }

 private:
  void Perform(const Step& step);
  void Clients(const Step& step);
  void Operators(const Step& step);
  void Processes(const Step& step);
  void Connections(const Step& step);
  void Platform(const Step& step);
  uint64_t Head();
  void Patch(size_t entry, uint64_t base, const std::string& patch);

  World world_;
  Oracle oracle_;
  uint64_t next_ = 1;
  uint64_t next_patch_ = 1000000;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_FUZZ_HARNESS_H_
