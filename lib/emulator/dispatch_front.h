// A front with the product's own decisions.

#ifndef CHERVILWICK_LIB_EMULATOR_DISPATCH_FRONT_H_
#define CHERVILWICK_LIB_EMULATOR_DISPATCH_FRONT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "chervilwick/dispatch/backend_table.h"
#include "chervilwick/dispatch/crash_suspects.h"
#include "chervilwick/dispatch/stream_scheduler.h"
#include "chervilwick/emulator/front_model.h"
#include "front_parts.h"

namespace chervilwick {

class DispatchFront : public FrontModel {
 public:
  DispatchFront(EventQueue& queue, EngineModels& engines, std::string name,
                const FrontModelOptions& options);
  ~DispatchFront() override;

  void Submit(const EmulatedRequest& request, OutcomeHandler handler) override;
  void OnRecord(const BackendRecord& record) override;
  void OnRemoved(const BackendName& id) override;
  void Exchange(const std::vector<FrontModel*>& others) override;
  size_t waiting() const override { return scheduler_.waiting(); }
  bool IsIdle() const override;
  const std::vector<absl::Time>& repeats() const override {
    return repeats_.times();
  }

 private:
  class Stream;

  void WakeScheduler();
  void RunScheduler();
  void Announce();

  EventQueue& queue_;
  EngineModels& engines_;
  const std::string name_;
  const FrontModelOptions options_;
  BackendTable backends_;
  StreamScheduler scheduler_;
  std::mt19937_64 random_;
  RepeatBook repeats_;
  CrashSuspects suspects_;
  std::map<ExchangeId, std::unique_ptr<Stream>> streams_;
  uint64_t next_id_ = 1;
  std::vector<DispatchFront*> peers_;
  bool is_woken_ = false;
  bool is_ticking_ = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LIB_EMULATOR_DISPATCH_FRONT_H_
