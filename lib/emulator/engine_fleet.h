// The engines of a day: discovery of them, and what befalls them.

#ifndef CHERVILWICK_LIB_EMULATOR_ENGINE_FLEET_H_
#define CHERVILWICK_LIB_EMULATOR_ENGINE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "chervilwick/dispatch/backend_record.h"
#include "chervilwick/emulator/day.h"
#include "chervilwick/emulator/front_model.h"
#include "chervilwick/kernel/event_queue.h"

namespace chervilwick {

class EngineFleet {
 public:
  // Word of discovery, some time after the fact.
  struct Listener {
    std::function<void(const BackendRecord&)> on_record;
    std::function<void(const BackendName&)> on_removed;
  };

  EngineFleet(const DayOptions& options, EventQueue& queue, Listener listener);

  // Starts the engines; `random` gives each a seed.
  void Start(std::mt19937_64& random);
  // Faults come at their times from now on.
  void StartFaults();

  EngineModels& models() { return models_; }
  const EngineModels& models() const { return models_; }
  // Engines that take new work; a slow one counts as a part of one.
  double EnginesUp() const;
  // Share of the decoding engines' memory in use.
  double MemoryShare() const;
  // Runs of a request over all engines.
  uint64_t Runs(uint64_t request) const;

 private:
  void Add(const std::string& name, EngineStage stage, uint64_t seed);
  void Tell(const BackendRecord& record);
  void TellRemoved(const BackendName& id);
  BackendName NameOf(size_t engine) const;

  void Play(const EngineCrash& fault);
  void Play(const EngineSlow& fault);
  void Play(const EngineDrain& fault);
  void Play(const LostAnswers& fault);
  void RemoveOnceEmpty(const BackendName& id);

  const DayOptions& options_;
  EventQueue& queue_;
  Listener listener_;
  EngineModels models_;
  std::vector<BackendName> names_;  // prefill engines first
  std::map<BackendName, BackendRecord> records_;
  std::map<BackendName, double> slowness_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LIB_EMULATOR_ENGINE_FLEET_H_
