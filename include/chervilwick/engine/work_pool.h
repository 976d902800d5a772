// Thread pool that runs attempts on an engine.

#ifndef CHERVILWICK_ENGINE_WORK_POOL_H_
#define CHERVILWICK_ENGINE_WORK_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "chervilwick/engine/engine_client.h"
#include "chervilwick/kernel/duty.h"
#include "chervilwick/kernel/kernel.h"
#include "chervilwick/support/bounded_ring.h"
#include "chervilwick/support/mutex.h"

namespace chervilwick {

// Each attempt occupies one thread while it runs; threads are reused. AgentCore
// limits the number of concurrent attempts.
class WorkPool : public Service {
 public:
  using FinishHandler = std::function<void(EngineFinished)>;
  using OutputHandler = std::function<void(EngineTokens)>;

  WorkPool(Engine engine, size_t max_threads, OutputHandler on_tokens,
           FinishHandler on_finished);
  ~WorkPool() override;
  void Stop() override;

  void Run(StartWork start);
  void Cancel(const AttemptId& attempt);
  // Number of attempts passed to Run that have not ended.
  size_t unfinished();

 private:
  void RemoveAttempt(const AttemptId& attempt);
  void Loop();
  void RunOne(const StartWork& start);

  const Engine engine_;
  const size_t max_threads_;
  const OutputHandler on_tokens_;
  const FinishHandler on_finished_;
  BoundedRing<StartWork> queue_;
  Mutex mutex_;
  std::vector<std::unique_ptr<Duty>> threads_ ABSL_GUARDED_BY(mutex_);
  size_t unfinished_ ABSL_GUARDED_BY(mutex_) = 0;
  // Shared with the thread that runs the attempt.
  absl::flat_hash_map<AttemptId, std::shared_ptr<CallCanceller>> cancellers_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENGINE_WORK_POOL_H_
