// Baseline fronts: each request goes straight to an engine, without a queue.

#ifndef CHERVILWICK_LIB_EMULATOR_DIRECT_FRONT_H_
#define CHERVILWICK_LIB_EMULATOR_DIRECT_FRONT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "chervilwick/emulator/front_model.h"
#include "front_parts.h"

namespace chervilwick {

// Chooses among engines by the policy alone. What an engine refuses is offered
// to two more; then the client is refused.
class DirectFront : public FrontModel {
 public:
  DirectFront(EventQueue& queue, EngineModels& engines,
              const FrontModelOptions& options);
  ~DirectFront() override;

  void Submit(const EmulatedRequest& request, OutcomeHandler handler) override;
  void OnRecord(const BackendRecord& record) override;
  void OnRemoved(const BackendName& id) override;
  void Exchange(const std::vector<FrontModel*>& /*others*/) override {}
  size_t waiting() const override { return 0; }
  bool IsIdle() const override;
  const std::vector<absl::Time>& repeats() const override {
    return repeats_.times();
  }

 private:
  class Stream;

  // An engine of that stage that is not excluded; null if there is none.
  const BackendRecord* Choose(EngineStage stage,
                              const std::set<BackendName>& excluded);

  EventQueue& queue_;
  EngineModels& engines_;
  const FrontModelOptions options_;
  RepeatBook repeats_;
  std::mt19937_64 random_;
  std::map<BackendName, BackendRecord> records_;
  std::map<BackendName, int64_t> used_;  // requests of this front
  std::map<EngineStage, uint64_t> turns_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::unique_ptr<Stream>> streams_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LIB_EMULATOR_DIRECT_FRONT_H_
