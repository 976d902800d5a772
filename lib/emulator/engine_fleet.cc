// The engines of a day.

#include "engine_fleet.h"

#include <memory>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"

namespace chervilwick {
namespace {

// Discovery's word reaches fronts after that time.
constexpr absl::Duration kDiscoveryDelay = absl::Milliseconds(150);
// The entry of an engine that crashed lapses after that time.
constexpr absl::Duration kLapse = absl::Milliseconds(1500);
// A leaving engine is looked at that often.
constexpr absl::Duration kDrainPoll = absl::Milliseconds(100);

}  // namespace

EngineFleet::EngineFleet(const DayOptions& options, EventQueue& queue,
                         Listener listener)
    : options_(options), queue_(queue), listener_(std::move(listener)) {}

void EngineFleet::Start(std::mt19937_64& random) {
  for (uint32_t n = 0; n < options_.prefill_engines; ++n) {
    Add(absl::StrCat("p", n), EngineStage::kPrefill, random());
  }
  for (uint32_t n = 0; n < options_.decode_engines; ++n) {
    Add(absl::StrCat("d", n), EngineStage::kDecode, random());
  }
}

void EngineFleet::Add(const std::string& name, EngineStage stage,
                      uint64_t seed) {
  BackendRecord record;
  record.id = BackendName(name);
  record.service = options_.front.service;
  record.zone = ZoneName("a");
  record.slots = options_.front.engine.slots;
  record.stage = stage;
  record.born_unix_ms = 1;
  names_.push_back(record.id);
  models_[record.id] =
      std::make_unique<EngineModel>(queue_, options_.front.engine, stage, seed);
  Tell(record);
}

void EngineFleet::Tell(const BackendRecord& record) {
  records_[record.id] = record;
  queue_.After(kDiscoveryDelay,
               [this, record] { listener_.on_record(record); });
}

void EngineFleet::TellRemoved(const BackendName& id) {
  queue_.After(kDiscoveryDelay, [this, id] { listener_.on_removed(id); });
}

BackendName EngineFleet::NameOf(size_t engine) const {
  return names_[engine % names_.size()];
}

void EngineFleet::StartFaults() {
  for (const EngineFault& fault : options_.faults) {
    std::visit(
        [this](const auto& it) {
          queue_.After(it.at, [this, it] { Play(it); });
        },
        fault);
  }
}

void EngineFleet::Play(const EngineCrash& fault) {
  BackendName id = NameOf(fault.engine);
  if (!models_[id]->is_up()) return;
  models_[id]->Crash();
  if (fault.length > kLapse) {
    queue_.After(kLapse, [this, id] { TellRemoved(id); });
  }
  queue_.After(fault.length, [this, id] {
    models_[id]->Restart();
    ++records_[id].born_unix_ms;
    Tell(records_[id]);
  });
}

void EngineFleet::Play(const EngineSlow& fault) {
  BackendName id = NameOf(fault.engine);
  slowness_[id] = fault.factor;
  models_[id]->SetSlowness(fault.factor);
  queue_.After(fault.length, [this, id] {
    slowness_[id] = 1;
    models_[id]->SetSlowness(1);
  });
}

void EngineFleet::Play(const EngineDrain& fault) {
  BackendName id = NameOf(fault.engine);
  records_[id].draining = true;
  Tell(records_[id]);
  queue_.After(2 * kDiscoveryDelay, [this, id] { RemoveOnceEmpty(id); });
}

void EngineFleet::RemoveOnceEmpty(const BackendName& id) {
  if (models_[id]->running() == 0) {
    models_[id]->Crash();
    TellRemoved(id);
    return;
  }
  queue_.After(kDrainPoll, [this, id] { RemoveOnceEmpty(id); });
}

void EngineFleet::Play(const LostAnswers& fault) {
  for (const auto& it : models_) it.second->SetLostAnswers(fault.share);
  queue_.After(fault.length, [this] {
    for (const auto& it : models_) it.second->SetLostAnswers(0);
  });
}

double EngineFleet::EnginesUp() const {
  double up = 0;
  for (const auto& it : models_) {
    auto record = records_.find(it.first);
    if (!it.second->is_up() || record->second.draining) continue;
    auto slow = slowness_.find(it.first);
    up += slow == slowness_.end() ? 1 : 1 / slow->second;
  }
  return up;
}

double EngineFleet::MemoryShare() const {
  double used = 0;
  double all = 0;
  for (const auto& it : models_) {
    const EngineModel& engine = *it.second;
    if (engine.stage() != EngineStage::kDecode || !engine.is_up()) continue;
    used += static_cast<double>(engine.memory_used());
    all += static_cast<double>(options_.front.engine.memory_tokens);
  }
  return all > 0 ? used / all : 0;
}

uint64_t EngineFleet::Runs(uint64_t request) const {
  uint64_t runs = 0;
  for (const auto& it : models_) {
    auto found = it.second->runs().find(request);
    if (found != it.second->runs().end()) runs += found->second;
  }
  return runs;
}

}  // namespace chervilwick
